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

// twoServices is a configuration whose routes wait for some milliseconds.
func twoServices(t *testing.T, edition, target int) *routing.Configuration {
	route := func(service string) string {
		return fmt.Sprintf(`{"Name":%q,"MailClass":"repeatable","Target":"%dms","Sorting":{"StreetPrefix":"/%s/%d/"},"Dispatch":{"Destination":%q,"Deadline":"2s","DeliveryTries":2}}`,
			service, target, service, edition, service)
	}
	c, err := routing.Parse(fmt.Appendf(nil, `{"Edition":%d,"PostOffices":[{"Town":"a","Regulations":[%s,%s]}],"Depots":[{"Name":"x"},{"Name":"y"}]}`,
		edition, route("x"), route("y")))
	must.NoError(t, err)
	return c
}

// unchangeable is a module that takes no other terms in service.
type unchangeable struct{ desk.Engine }

// A module that refuses its terms, or has failed, is replaced; no version is kept from the other services by it.
func TestAModuleThatRefusesItsTermsHoldsNoVersionBack(t *testing.T) {
	p := newTestProxy(nil)
	p.adopt(1, twoServices(t, 1, 100))
	old := p.pools["x"]
	book, order := p.bookOf(p.rules["x"])
	stuck, err := desk.New(book, &figures.Pool{}, slog.New(slog.DiscardHandler), func(terms *logic.Config, now int64) (desk.Engine, error) {
		module, err := logic.New(terms, now)
		return unchangeable{module}, err
	})
	must.NoError(t, err)
	old = &pool{name: "x", counts: &figures.Pool{}, desk: stuck, peers: old.peers, budget: old.budget}
	old.take(book, order)
	p.pools["x"] = old
	p.adopt(2, twoServices(t, 2, 200))
	v := p.view.Load()
	must.Eq(t, 2, v.index)
	for _, service := range []string{"x", "y"} {
		r := v.table.Find("a", "/"+service+"/2/")
		must.SliceLen(t, 1, v.targets[r])
		to := v.targets[r][0]
		must.True(t, to.pool == p.pools[service])
		must.Eq(t, int64(200*time.Millisecond), to.under.Tariffs[to.tariff].ContractTime)
	}
	must.True(t, p.pools["x"] != old)
	must.Eq(t, 1, p.counts.Of("modules_replaced").Load())
}

// Nothing that comes later brings an older version back: not a controller that lags, whole, packed or as a change; not a fetch that
// began before; not a look at who is there.
func TestNoOlderVersionComesAfterANewerOne(t *testing.T) {
	versions := map[uint64]*routing.Configuration{}
	for index := uint64(3); index < 8; index++ {
		versions[index] = twoServices(t, int(index), 100+int(index))
	}
	pack := func(base, of uint64) *routing.Packed {
		packed, err := routing.Pack(versions[base], versions[of])
		must.NoError(t, err)
		return packed
	}
	var told *membership.ConfigurationResponse
	p := newTestProxy(nil)
	p.caller = rpc.NewCaller(func(http.RoundTripper) http.RoundTripper {
		return roundTrip(func(r *http.Request) (*http.Response, error) {
			raw, err := json.Marshal(told)
			return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(bytes.NewReader(raw)), Request: r}, err
		})
	})
	answer := func(index uint64, packed *routing.Packed) *membership.WatchResponse {
		return &membership.WatchResponse{Current: true, Packed: packed, Position: membership.Position{Index: index, Edition: versions[index].Edition, Digest: versions[index].Digest()}}
	}
	must.NoError(t, p.applyConfiguration(answer(5, pack(0, 5))))
	must.Eq(t, 5, p.view.Load().index)
	holds := func(index uint64) {
		t.Helper()
		must.Eq(t, index, p.view.Load().index)
		must.Eq(t, versions[index].Digest(), p.currentPosition().Digest)
		must.Eq(t, versions[index].Edition, p.currentPosition().Edition)
	}
	must.NoError(t, p.applyConfiguration(answer(4, pack(0, 4)))) // of one that lags
	holds(5)
	must.NoError(t, p.applyConfiguration(answer(4, pack(5, 4))))
	holds(5)
	must.NoError(t, p.applyConfiguration(&membership.WatchResponse{Current: true, Position: membership.Position{Index: 4, Edition: 4}, Configuration: versions[4].Document()}))
	holds(5)
	must.NoError(t, p.applyConfiguration(answer(6, pack(4, 6)))) // of what is not held: the next answer has the right one
	holds(5)
	told = &membership.ConfigurationResponse{Packed: *pack(0, 4), Index: 4, Current: true}
	told.Total = len(told.Packed.Data)
	must.NoError(t, p.fetchConfiguration(context.Background(), "lags"))
	holds(5)
	p.mu.Lock()
	p.putNode(record("other", "l", 1, 0), p.now())
	p.nodesChanged()
	p.mu.Unlock()
	holds(5)
	must.NoError(t, p.applyConfiguration(answer(7, pack(5, 7))))
	holds(7)
	for _, r := range p.view.Load().table.Routes {
		must.Eq(t, int64(107*time.Millisecond), p.view.Load().targets[r][0].under.Tariffs[0].ContractTime)
	}
}

// A long configuration is fetched piece by piece: what a controller has lost or won't give is fetched at another, and one whose answers
// can't be unpacked is asked for as it is.
func TestALongConfigurationIsFetchedWhereverItIs(t *testing.T) {
	of := twoServices(t, 3, 100)
	whole, err := routing.Pack(nil, of)
	must.NoError(t, err)
	half := len(whole.Data) / 2
	var asked []string
	newProxy := func(spoil bool) *Proxy {
		b := settings.Default()
		b.Node, b.District = "self", "z"
		p := New(b, slog.New(slog.DiscardHandler), WithTransport(func(http.RoundTripper) http.RoundTripper {
			return roundTrip(func(r *http.Request) (*http.Response, error) {
				request := &membership.ConfigurationRequest{}
				if err := json.NewDecoder(r.Body).Decode(request); err != nil {
					return nil, err
				}
				asked = append(asked, fmt.Sprint(r.URL.Host, request.Offset))
				if strings.HasPrefix(r.URL.Host, "breaks") && request.Offset > 0 {
					return nil, io.ErrUnexpectedEOF
				}
				piece := membership.ConfigurationResponse{Packed: *whole, Offset: request.Offset, Total: len(whole.Data), Index: 9, Current: r.URL.Host != "cut-off"}
				piece.Packed.Data = whole.Data[request.Offset:min(request.Offset+half, len(whole.Data))]
				if spoil {
					piece.Packed.Result = "another"
				}
				raw, err := json.Marshal(piece)
				return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(bytes.NewReader(raw)), Request: r}, err
			})
		}))
		p.controllers = []membership.ControllerAddress{{At: "breaks", Zone: "z"}, {At: "cut-off", Zone: "y"}, {At: "sound", Zone: "y"}}
		return p
	}
	p := newProxy(false)
	ctx, end := context.WithCancel(context.Background())
	defer end()
	go p.fetchConfigurations(ctx)
	named := &membership.WatchResponse{Current: true, Position: membership.Position{Index: 9, Edition: 3, Digest: of.Digest()}}
	must.NoError(t, p.applyConfiguration(named))
	must.Eq(t, 9, p.currentPosition().Index) // the watch goes on from there
	p.fetchFrom("breaks", named)
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return p.view.Load() != nil }), wait.Timeout(5*time.Second), wait.Gap(time.Millisecond)))
	must.Eq(t, of.Digest(), p.view.Load().table.Digest())
	must.SliceContains(t, asked, fmt.Sprint("sound", half))
	must.SliceContains(t, asked, "cut-off0") // it is not taken from who is not current
	must.False(t, p.unpackable.Load())

	spoilt := newProxy(true)
	must.NoError(t, spoilt.applyConfiguration(named))
	must.Eq(t, 9, spoilt.currentPosition().Index)
	spoilt.fetchFrom("sound", named)
	must.Error(t, spoilt.fetchConfiguration(context.Background(), "sound"))
	must.True(t, spoilt.unpackable.Load())
	must.Eq(t, "", spoilt.wanted())
	request, _ := spoilt.watchRequest()
	must.False(t, request.Packed)
	must.Eq(t, 0, request.Position.Index) // it is told again
	plain := &membership.WatchResponse{Current: true, Position: membership.Position{Index: 9, Edition: 3}, Configuration: of.Document()}
	must.NoError(t, spoilt.applyConfiguration(plain))
	must.Eq(t, of.Digest(), spoilt.view.Load().table.Digest())
}
