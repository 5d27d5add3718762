package keep

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"ottershift/internal/cluster/link"
	"ottershift/internal/cluster/pack"
)

// Faults of a member's command.
var (
	ErrUnreached  = errors.New("no majority of keepers was reached in time: it had no effect")
	ErrUnknown    = errors.New("unknown: no answer in time, it may have taken effect or may yet")
	ErrMemberOver = errors.New("this run is over at the keepers")
)

const (
	tries    = 400 * time.Millisecond // at one keeper, before another is asked
	betweens = 30 * time.Millisecond  // two tries
)

// Client is a member's way to the keepers of a group: it finds the leader, follows it, and has each command take effect once
// however often it is sent.
type Client struct {
	way    Way
	self   string
	voters []string
	group  int

	mu     sync.Mutex
	leader string
	epoch  uint64
	run    uint64
	open   bool
	over   bool
	seq    uint64
	out    map[uint64]bool // sequences that have no answer yet

	Believes bool // a variant's: any keeper answers reads by what it holds

	Sent, Answered, Failed int64 // under mu
}

// NewClient makes one; nothing is sent before Open.
func NewClient(way Way, self string, voters []string, group int) *Client {
	return &Client{way: way, self: self, voters: voters, group: group, out: map[uint64]bool{}}
}

func (c *Client) method(n uint16) uint16 { return n + perGroup*uint16(c.group) }

// Open begins a session under an epoch. An epoch that is too low is told with the one that is known.
func (c *Client) Open(ctx context.Context, epoch, run uint64) (known uint64, err error) {
	a, err := c.send(ctx, &Command{Kind: Open, Member: c.self, Epoch: epoch, Run: run})
	if err != nil {
		return 0, err
	}
	if a.Code != OK {
		return a.Epoch, ErrMemberOver
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.epoch, c.run, c.open, c.over, c.seq = epoch, run, true, false, 0
	clear(c.out)
	return epoch, nil
}

// Session is the open session's epoch; ok is false where there is none.
func (c *Client) Session() (epoch uint64, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.epoch, c.open && !c.over
}

// Lost notes that the session has been ended by others.
func (c *Client) Lost() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.over = true
}

// Do has a command agreed on under the open session.
func (c *Client) Do(ctx context.Context, x Command) (Answer, error) {
	c.mu.Lock()
	if !c.open || c.over {
		c.mu.Unlock()
		return Answer{}, ErrMemberOver
	}
	if len(c.out) >= mostAnswers/2 {
		c.mu.Unlock()
		return Answer{}, ErrBusy
	}
	c.seq++
	x.Member, x.Epoch, x.Seq = c.self, c.epoch, c.seq
	c.out[x.Seq] = true
	x.Low = slices.Min(slices.Collect(maps.Keys(c.out)))
	c.Sent++
	c.mu.Unlock()
	a, err := c.send(ctx, &x)
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.out, x.Seq)
	if err != nil {
		c.Failed++
		return a, err
	}
	c.Answered++
	if a.Code == ErrOver && x.Epoch == c.epoch {
		c.over = true
		return a, ErrMemberOver
	}
	return a, nil
}

// send tries until there is an answer or no time is left.
func (c *Client) send(ctx context.Context, x *Command) (Answer, error) {
	r, err := c.ask(ctx, methodPropose, pack.Pack(x))
	return r.Answer, err
}

// ask asks the leader, wherever it is by then. The error tells whether it may have taken effect.
func (c *Client) ask(ctx context.Context, method uint16, body []byte) (reply, error) {
	mayBe := false
	for n := rand.IntN(len(c.voters)); ; n++ {
		c.mu.Lock()
		to := c.leader
		c.mu.Unlock()
		if to == "" {
			to = c.voters[n%len(c.voters)]
		}
		once, end := context.WithTimeout(ctx, tries)
		raw, err := c.way.Call(once, to, c.method(method), body)
		end()
		var r reply
		if err == nil {
			err = pack.Unpack(raw, &r)
		}
		hint := ""
		switch {
		case err == nil && r.Fault == "":
			c.mu.Lock()
			c.leader = to
			c.mu.Unlock()
			return r, nil
		case err == nil:
			mayBe, hint = mayBe || r.Lost, r.Hint
			err = errors.New(r.Fault)
		case !errors.Is(err, link.ErrNotSent) && !errors.Is(err, link.ErrRefused) && !errors.Is(err, link.ErrOverloaded):
			mayBe = true
		}
		if hint == to {
			hint = ""
		}
		c.mu.Lock()
		if c.leader == to || c.leader == "" {
			c.leader = hint
		}
		c.mu.Unlock()
		select {
		case <-ctx.Done():
			if mayBe {
				return reply{}, fmt.Errorf("%w (last: %v)", ErrUnknown, err)
			}
			return reply{}, fmt.Errorf("%w (last: %v)", ErrUnreached, err)
		case <-time.After(betweens):
		}
	}
}

// Read reads what is agreed: linearizably, from the leader after a majority's word, or from any keeper, telling how old it
// may be.
func (c *Client) Read(ctx context.Context, stale bool) (a Agreed, err error) {
	r, err := c.query(ctx, &Query{What: "duties", Stale: stale})
	if err != nil {
		return a, err
	}
	return a, pack.Unpack(r, &a)
}

// ReadPart asks another part of what is agreed.
func (c *Client) ReadPart(ctx context.Context, part byte, body []byte, stale bool) ([]byte, error) {
	return c.query(ctx, &Query{What: "part", Part: part, Body: body, Stale: stale})
}

// ReadPartAt asks a keeper for what its own copy holds, however old that is.
func (c *Client) ReadPartAt(ctx context.Context, name string, part byte, body []byte) ([]byte, error) {
	raw, err := c.way.Call(ctx, name, c.method(methodRead), pack.Pack(&Query{What: "part", Part: part, Body: body, Stale: true}))
	if err != nil {
		return nil, err
	}
	var r reply
	if err := pack.Unpack(raw, &r); err != nil {
		return nil, err
	}
	if r.Fault != "" {
		return nil, errors.New(r.Fault)
	}
	return r.Body, nil
}

func (c *Client) query(ctx context.Context, q *Query) ([]byte, error) {
	if c.Believes {
		q.Stale = true
		c.mu.Lock()
		c.leader = c.voters[rand.IntN(len(c.voters))]
		c.mu.Unlock()
	}
	r, err := c.ask(ctx, methodRead, pack.Pack(q))
	return r.Body, err
}

// Renew tells that this run still owns some duties; it returns the tokens that stand.
func (c *Client) Renew(ctx context.Context, tokens map[string]uint64) (map[string]uint64, error) {
	c.mu.Lock()
	r := Renewal{c.self, c.epoch, tokens}
	c.mu.Unlock()
	got, err := c.ask(ctx, methodRenew, pack.Pack(&r))
	if err != nil {
		return nil, err
	}
	var back Renewal
	if err := pack.Unpack(got.Body, &back); err != nil {
		return nil, err
	}
	return back.Tokens, nil
}

// Status asks one keeper how it stands.
func (c *Client) Status(ctx context.Context, name string) (s Status, err error) {
	raw, err := c.way.Call(ctx, name, c.method(methodRead), pack.Pack(&Query{What: "status", Stale: true}))
	if err != nil {
		return s, err
	}
	var r reply
	if err := pack.Unpack(raw, &r); err != nil {
		return s, err
	}
	if r.Fault != "" {
		return s, errors.New(r.Fault)
	}
	return s, json.Unmarshal(r.Body, &s)
}

// Order has staff's word done by the leader.
func (c *Client) Order(ctx context.Context, o Order) ([]byte, error) {
	for n := 0; ; n++ {
		c.mu.Lock()
		to := c.leader
		c.mu.Unlock()
		if to == "" {
			to = c.voters[n%len(c.voters)]
		}
		once, end := context.WithTimeout(ctx, 5*tries)
		raw, err := c.way.Call(once, to, c.method(methodAdmin), pack.Pack(&o))
		end()
		var r reply
		if err == nil {
			err = pack.Unpack(raw, &r)
		}
		if err == nil && r.Fault == "" {
			return r.Body, nil
		}
		if err == nil && r.Fault != ErrNotLeader.Error() && r.Hint == "" {
			return nil, errors.New(r.Fault) // the leader's own word
		}
		c.mu.Lock()
		c.leader = r.Hint
		c.mu.Unlock()
		select {
		case <-ctx.Done():
			if err == nil {
				err = errors.New(r.Fault)
			}
			return nil, err
		case <-time.After(betweens):
		}
	}
}
