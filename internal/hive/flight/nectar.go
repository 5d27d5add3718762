package flight

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"ottershift/internal/hive/box"
	"ottershift/internal/hive/dance"
	"ottershift/internal/hive/nectar"
)

const (
	creditWait   = 300 * time.Millisecond // that a request waits for a token at most
	creditWithin = 900 * time.Millisecond // that a report is waited for
)

// credit is this balancer's part of tenants' burst credit. Where no tenant has any, nothing here runs.
type credit struct {
	sync.Mutex
	crop *nectar.Crop
	on   atomic.Bool
	need chan struct{} // has room for one
}

// terms puts a timetable's in force. Under mu.
func (f *Forager) creditTerms(t *dance.Timetable) {
	services := map[string]float64{}
	for _, d := range t.Depots {
		services[d.Name] = d.NectarPerS
	}
	f.credit.Lock()
	defer f.credit.Unlock()
	f.credit.crop.Set(nectar.TermsOf(t), services, f.members, f.now())
	f.credit.on.Store(f.credit.crop.On())
}

// claim is what a request beyond its tenant's rate would draw for, and under which name: the client's key for it where it has
// one; else an effect is its own, and pages and downloads of one tenant are one for as long as settled names are known.
func (f *Forager) claim(r *http.Request, rule *dance.Rule, tenant *dance.Sender) nectar.Claim {
	k := nectar.Claim{Tenant: tenant.Name, Service: rule.Parts[0].Destination, Effect: !rule.MailClass.Repeats(),
		Rank: tenant.Precedence*1000 + rule.Precedence}
	if host, _, err := net.SplitHostPort(r.RemoteAddr); err == nil {
		k.Client = host != box.Host(f.box.App) // the upstream on this machine calls from its own address
	}
	switch key := r.Header.Get("Idempotency-Key"); {
	case key != "":
		k.ID = nectar.Identity("key", key, r.Method, r.Host, r.RequestURI)
	case k.Effect:
		k.ID = nectar.Identity("try", r.Header.Get(attemptID))
	default:
		k.ID = nectar.Identity("page", r.Method, r.Host, r.RequestURI)
	}
	return k
}

// draws has a request go on out of its tenant's credit, if there is any; it waits for its turn.
func (f *Forager) draws(ctx context.Context, k nectar.Claim) bool {
	c := &f.credit
	called := make(chan bool, 1)
	c.Lock()
	verdict := c.crop.Claim(k, f.now(), func(ok bool) { called <- ok })
	c.Unlock()
	f.wantCredit()
	switch verdict {
	case nectar.Drawn:
		f.counts.Add("credit_drawn")
		return true
	case nectar.None:
		return false
	}
	late := time.NewTimer(creditWait)
	defer late.Stop()
	select {
	case <-called:
		f.counts.Add("credit_drawn")
		return true
	case <-late.C:
	case <-ctx.Done():
	}
	c.Lock()
	left := c.crop.Leave(k)
	c.Unlock()
	if !left { // its turn came meanwhile
		<-called
		if ctx.Err() != nil {
			f.drawn(k, nectar.NeverRan)
			return false
		}
		f.counts.Add("credit_drawn")
		return true
	}
	f.counts.Add("credit_none")
	return false
}

// drawn tells what became of it.
func (f *Forager) drawn(k nectar.Claim, end nectar.End) {
	c := &f.credit
	c.Lock()
	c.crop.Done(k, end, f.now())
	c.crop.Turn(f.now())
	c.Unlock()
	f.wantCredit()
}

func (f *Forager) wantCredit() {
	select {
	case f.credit.need <- struct{}{}:
	default:
	}
}

// report tells the core what was spent, and asks for more, for as long as there is something to tell.
func (f *Forager) report(ctx context.Context) {
	c := &f.credit
	for {
		select {
		case <-c.need:
		case <-ctx.Done():
			return
		}
		for ctx.Err() == nil {
			f.wallet.Lock()
			at := f.wallet.queen
			f.wallet.Unlock()
			c.Lock()
			wants := c.crop.Wants(f.now()) && at != ""
			var r *nectar.Report
			if wants {
				r = c.crop.Report(f.now())
			}
			c.Unlock()
			if !wants {
				break
			}
			sent := f.now()
			call, end := context.WithTimeout(ctx, creditWithin)
			g := &nectar.Grant{}
			err := f.caller.Call(call, at, "/hive/nectar", r, g)
			end()
			if f.counts.Add("credit_reports"); err != nil {
				f.counts.Add("credit_reports_failed")
			} else {
				c.Lock()
				c.crop.Given(g, sent, f.now())
				c.Unlock()
			}
			pause := time.NewTimer(time.Duration(nectar.Every))
			select {
			case <-pause.C:
			case <-ctx.Done():
			}
			pause.Stop()
		}
	}
}

// settles tells what became of a request that drew on credit, once it has its answer.
func (f *Forager) settles(q *request) {
	if q.claim == nil {
		return
	}
	q.mu.Lock()
	end := nectar.NeverRan
	switch {
	case q.delivered:
		end = nectar.Delivered
	case q.ran > 0:
		end = nectar.Unknown
	}
	q.mu.Unlock()
	f.drawn(*q.claim, end)
}
