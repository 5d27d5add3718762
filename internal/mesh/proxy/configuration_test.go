package proxy

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"ottershift/internal/desk"
	"ottershift/internal/figures"
	"ottershift/internal/mesh/membership"
	"ottershift/internal/mesh/routing"
	"ottershift/internal/mesh/rpc"
	"ottershift/internal/mesh/settings"
	"ottershift/logic"
)

// twoServiceConfiguration returns a configuration with routes to the services x and y, whose latency target is in
// milliseconds.
func twoServiceConfiguration(t *testing.T, edition, target int) *routing.Configuration {
	route := func(service string) string {
		return fmt.Sprintf(`{"Name":%q,"MailClass":"repeatable","Target":"%dms","Sorting":{"StreetPrefix":"/%s/%d/"},"Dispatch":{"Destination":%q,"Deadline":"2s","DeliveryTries":2}}`,
			service, target, service, edition, service)
	}
	c, err := routing.Parse(fmt.Appendf(nil, `{"Edition":%d,"PostOffices":[{"Town":"a","Regulations":[%s,%s]}],"Depots":[{"Name":"x"},{"Name":"y"}]}`,
		edition, route("x"), route("y")))
	must.NoError(t, err)
	return c
}

// immutableBalancer is a load balancer that cannot change its terms.
type immutableBalancer struct{ desk.Engine }

// A load balancer that rejects new terms, or has failed, is replaced. It must not keep the new version from the other
// services.
func TestLoadBalancerRejectingTermsDoesNotBlockConfiguration(t *testing.T) {
	p := newTestProxy(nil)
	p.activate(1, twoServiceConfiguration(t, 1, 100))
	old := p.pools["x"]
	book, order := p.bookFor(p.routes["x"])
	rejecting, err := desk.New(book, &figures.Pool{}, slog.New(slog.DiscardHandler), func(terms *logic.Config, now int64) (desk.Engine, error) {
		balancer, err := logic.New(terms, now)
		return immutableBalancer{balancer}, err
	})
	must.NoError(t, err)
	old = &servicePool{name: "x", counters: &figures.Pool{}, desk: rejecting, peers: old.peers, budget: old.budget}
	old.setBook(book, order)
	p.pools["x"] = old
	p.activate(2, twoServiceConfiguration(t, 2, 200))
	active := p.view.Load()
	must.Eq(t, 2, active.index)
	for _, service := range []string{"x", "y"} {
		route := active.configuration.Find("a", "/"+service+"/2/")
		must.SliceLen(t, 1, active.targets[route])
		to := active.targets[route][0]
		must.True(t, to.servicePool == p.pools[service])
		must.Eq(t, int64(200*time.Millisecond), to.limitedTerms.Tariffs[to.tariff].ContractTime)
	}
	must.True(t, p.pools["x"] != old)
	must.Eq(t, 1, p.counters.Counter("modules_replaced").Load())
}

// No later event may bring an older version back: neither a response of a lagging controller (plain, packed or as a
// delta), nor a fetch that started earlier, nor a change of nodes.
func TestConfigurationNeverRollsBack(t *testing.T) {
	versions := map[uint64]*routing.Configuration{}
	for index := uint64(3); index < 8; index++ {
		versions[index] = twoServiceConfiguration(t, int(index), 100+int(index))
	}
	pack := func(base, version uint64) *routing.Packed {
		packed, err := routing.Pack(versions[base], versions[version])
		must.NoError(t, err)
		return packed
	}
	var fetched *membership.ConfigurationResponse
	p := newTestProxy(nil)
	p.caller = rpc.NewClient(func(http.RoundTripper) http.RoundTripper {
		return roundTripFunc(func(r *http.Request) (*http.Response, error) {
			raw, err := json.Marshal(fetched)
			return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(bytes.NewReader(raw)), Request: r}, err
		})
	})
	watchResponse := func(index uint64, packed *routing.Packed) *membership.WatchResponse {
		return &membership.WatchResponse{Current: true, Packed: packed, Position: membership.Position{Index: index, Edition: versions[index].Edition, Digest: versions[index].Digest()}}
	}
	must.NoError(t, p.applyConfiguration(watchResponse(5, pack(0, 5))))
	must.Eq(t, 5, p.view.Load().index)
	mustBeAt := func(index uint64) {
		t.Helper()
		must.Eq(t, index, p.view.Load().index)
		must.Eq(t, versions[index].Digest(), p.currentPosition().Digest)
		must.Eq(t, versions[index].Edition, p.currentPosition().Edition)
	}
	must.NoError(t, p.applyConfiguration(watchResponse(4, pack(0, 4)))) // from a lagging controller
	mustBeAt(5)
	must.NoError(t, p.applyConfiguration(watchResponse(4, pack(5, 4))))
	mustBeAt(5)
	must.NoError(t, p.applyConfiguration(&membership.WatchResponse{Current: true, Position: membership.Position{Index: 4, Edition: 4}, Configuration: versions[4].Document()}))
	mustBeAt(5)
	must.NoError(t, p.applyConfiguration(watchResponse(6, pack(4, 6)))) // delta to a version that is not active: the next response has the right one
	mustBeAt(5)
	fetched = &membership.ConfigurationResponse{Packed: *pack(0, 4), Index: 4, Current: true}
	fetched.Total = len(fetched.Packed.Data)
	must.NoError(t, p.fetchConfiguration(context.Background(), "lags"))
	mustBeAt(5)
	p.mu.Lock()
	p.putNode(record("other", "l", 1, 0), p.now())
	p.applyNodeChanges()
	p.mu.Unlock()
	mustBeAt(5)
	must.NoError(t, p.applyConfiguration(watchResponse(7, pack(5, 7))))
	mustBeAt(7)
	for _, r := range p.view.Load().configuration.Routes {
		must.Eq(t, int64(107*time.Millisecond), p.view.Load().targets[r][0].limitedTerms.Tariffs[0].ContractTime)
	}
}

// A long configuration is fetched in chunks. If a controller fails during the transfer or is not current, another one
// is asked; if a configuration can't be unpacked, the plain one is requested.
func TestLongConfigurationIsFetchedFromAnyController(t *testing.T) {
	config := twoServiceConfiguration(t, 3, 100)
	whole, err := routing.Pack(nil, config)
	must.NoError(t, err)
	half := len(whole.Data) / 2
	var asked []string
	newProxy := func(corrupt bool) *Proxy {
		proxySettings := settings.Default()
		proxySettings.Node, proxySettings.Zone = "self", "z"
		p := New(proxySettings, slog.New(slog.DiscardHandler), WithTransport(func(http.RoundTripper) http.RoundTripper {
			return roundTripFunc(func(r *http.Request) (*http.Response, error) {
				request := &membership.ConfigurationRequest{}
				if err := json.NewDecoder(r.Body).Decode(request); err != nil {
					return nil, err
				}
				asked = append(asked, fmt.Sprint(r.URL.Host, request.Offset))
				if strings.HasPrefix(r.URL.Host, "breaks") && request.Offset > 0 {
					return nil, io.ErrUnexpectedEOF
				}
				chunk := membership.ConfigurationResponse{Packed: *whole, Offset: request.Offset, Total: len(whole.Data), Index: 9, Current: r.URL.Host != "cut-off"}
				chunk.Packed.Data = whole.Data[request.Offset:min(request.Offset+half, len(whole.Data))]
				if corrupt {
					chunk.Packed.Result = "another"
				}
				raw, err := json.Marshal(chunk)
				return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(bytes.NewReader(raw)), Request: r}, err
			})
		}))
		p.controllers = []membership.ControllerAddress{{Address: "breaks", Zone: "z"}, {Address: "cut-off", Zone: "y"}, {Address: "sound", Zone: "y"}}
		return p
	}
	p := newProxy(false)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go p.fetchConfigurations(ctx)
	announced := &membership.WatchResponse{Current: true, Position: membership.Position{Index: 9, Edition: 3, Digest: config.Digest()}}
	must.NoError(t, p.applyConfiguration(announced))
	must.Eq(t, 9, p.currentPosition().Index) // the watch continues from the announced index
	p.requestFetch("breaks", announced)
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return p.view.Load() != nil }), wait.Timeout(5*time.Second), wait.Gap(time.Millisecond)))
	must.Eq(t, config.Digest(), p.view.Load().configuration.Digest())
	must.SliceContains(t, asked, fmt.Sprint("sound", half))
	must.SliceContains(t, asked, "cut-off0") // asked, but its configuration is not used: it is not current
	must.False(t, p.unpackFailed.Load())

	failing := newProxy(true)
	must.NoError(t, failing.applyConfiguration(announced))
	must.Eq(t, 9, failing.currentPosition().Index)
	failing.requestFetch("sound", announced)
	must.Error(t, failing.fetchConfiguration(context.Background(), "sound"))
	must.True(t, failing.unpackFailed.Load())
	must.Eq(t, "", failing.fetchSource())
	request, _ := failing.watchRequest()
	must.False(t, request.AcceptsPacked)
	must.Eq(t, 0, request.Position.Index) // the watch returns the state again
	plain := &membership.WatchResponse{Current: true, Position: membership.Position{Index: 9, Edition: 3}, Configuration: config.Document()}
	must.NoError(t, failing.applyConfiguration(plain))
	must.Eq(t, config.Digest(), failing.view.Load().configuration.Digest())
}
