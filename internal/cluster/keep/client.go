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

// Errors of a member's command.
var (
	ErrNoQuorum       = errors.New("no quorum of voters reached in time: the command had no effect")
	ErrOutcomeUnknown = errors.New("outcome unknown: no reply in time, the command may have taken effect or may do so later")
	ErrSessionEnded   = errors.New("the session of this run has ended")
)

const (
	attemptTimeout = 400 * time.Millisecond // per attempt with one replica
	retryInterval  = 30 * time.Millisecond  // between two attempts
)

// Client is a member's access to the replicas of a group. It finds and follows the leader, and has each command take
// effect once, however often it is sent.
type Client struct {
	transport Transport
	self      string
	voters    []string
	group     int

	mu           sync.Mutex
	leader       string
	epoch        uint64
	run          uint64
	sessionOpen  bool
	sessionEnded bool
	seq          uint64
	pending      map[uint64]bool // sequence numbers without a reply

	StaleReads bool // for experiments: any replica answers reads from its own, possibly stale, state

	Sent, Answered, Failed int64 // guarded by mu
}

// NewClient makes a client; it sends nothing before Open.
func NewClient(transport Transport, self string, voters []string, group int) *Client {
	return &Client{transport: transport, self: self, voters: voters, group: group, pending: map[uint64]bool{}}
}

func (c *Client) method(n uint16) uint16 { return n + methodsPerGroup*uint16(c.group) }

// Open opens a session with an epoch. If the epoch is too low, it returns the current one with ErrSessionEnded.
func (c *Client) Open(ctx context.Context, epoch, run uint64) (knownEpoch uint64, err error) {
	result, err := c.propose(ctx, &Command{Kind: OpenSession, Member: c.self, Epoch: epoch, Run: run})
	if err != nil {
		return 0, err
	}
	if result.Code != CodeOK {
		return result.Epoch, ErrSessionEnded
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.epoch, c.run, c.sessionOpen, c.sessionEnded, c.seq = epoch, run, true, false, 0
	clear(c.pending)
	return epoch, nil
}

// Session returns the epoch of the open session; ok is false if there is none.
func (c *Client) Session() (epoch uint64, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.epoch, c.sessionOpen && !c.sessionEnded
}

// MarkSessionEnded records that others have ended the session.
func (c *Client) MarkSessionEnded() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sessionEnded = true
}

// Do proposes a command under the open session.
func (c *Client) Do(ctx context.Context, cmd Command) (Result, error) {
	c.mu.Lock()
	if !c.sessionOpen || c.sessionEnded {
		c.mu.Unlock()
		return Result{}, ErrSessionEnded
	}
	if len(c.pending) >= maxStoredResults/2 {
		c.mu.Unlock()
		return Result{}, ErrBusy
	}
	c.seq++
	cmd.Member, cmd.Epoch, cmd.Seq = c.self, c.epoch, c.seq
	c.pending[cmd.Seq] = true
	cmd.LowestPending = slices.Min(slices.Collect(maps.Keys(c.pending)))
	c.Sent++
	c.mu.Unlock()
	result, err := c.propose(ctx, &cmd)
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, cmd.Seq)
	if err != nil {
		c.Failed++
		return result, err
	}
	c.Answered++
	if result.Code == CodeSessionEnded && cmd.Epoch == c.epoch {
		c.sessionEnded = true
		return result, ErrSessionEnded
	}
	return result, nil
}

// propose sends a command until there is a reply or the context ends.
func (c *Client) propose(ctx context.Context, cmd *Command) (Result, error) {
	resp, err := c.callLeader(ctx, methodPropose, pack.Pack(cmd))
	return resp.Result, err
}

// callLeader sends a request to the current leader, and follows leader changes. The error tells whether the request
// may have taken effect.
func (c *Client) callLeader(ctx context.Context, method uint16, body []byte) (reply, error) {
	mayHaveApplied := false
	for attempt := rand.IntN(len(c.voters)); ; attempt++ {
		c.mu.Lock()
		target := c.leader
		c.mu.Unlock()
		if target == "" {
			target = c.voters[attempt%len(c.voters)]
		}
		attemptCtx, cancel := context.WithTimeout(ctx, attemptTimeout)
		raw, err := c.transport.Call(attemptCtx, target, c.method(method), body)
		cancel()
		var resp reply
		if err == nil {
			err = pack.Unpack(raw, &resp)
		}
		leader := ""
		switch {
		case err == nil && resp.Error == "":
			c.mu.Lock()
			c.leader = target
			c.mu.Unlock()
			return resp, nil
		case err == nil:
			mayHaveApplied, leader = mayHaveApplied || resp.MayHaveApplied, resp.Leader
			err = errors.New(resp.Error)
		case !errors.Is(err, link.ErrNotSent) && !errors.Is(err, link.ErrRefused) && !errors.Is(err, link.ErrOverloaded):
			mayHaveApplied = true
		}
		if leader == target {
			leader = ""
		}
		c.mu.Lock()
		if c.leader == target || c.leader == "" {
			c.leader = leader
		}
		c.mu.Unlock()
		select {
		case <-ctx.Done():
			if mayHaveApplied {
				return reply{}, fmt.Errorf("%w (last error: %v)", ErrOutcomeUnknown, err)
			}
			return reply{}, fmt.Errorf("%w (last error: %v)", ErrNoQuorum, err)
		case <-time.After(retryInterval):
		}
	}
}

// Read reads duties and sessions: linearizably from the leader, or, if stale is set, from any replica with an upper
// bound of the state's age.
func (c *Client) Read(ctx context.Context, stale bool) (view StateView, err error) {
	raw, err := c.query(ctx, &Query{Kind: "duties", Stale: stale})
	if err != nil {
		return view, err
	}
	return view, pack.Unpack(raw, &view)
}

// ReadPart queries a part of the replicated state.
func (c *Client) ReadPart(ctx context.Context, part byte, body []byte, stale bool) ([]byte, error) {
	return c.query(ctx, &Query{Kind: "part", Part: part, Body: body, Stale: stale})
}

// ReadPartAt queries a part on one replica, which answers from its own state, however old.
func (c *Client) ReadPartAt(ctx context.Context, name string, part byte, body []byte) ([]byte, error) {
	raw, err := c.transport.Call(ctx, name, c.method(methodRead), pack.Pack(&Query{Kind: "part", Part: part, Body: body, Stale: true}))
	if err != nil {
		return nil, err
	}
	var resp reply
	if err := pack.Unpack(raw, &resp); err != nil {
		return nil, err
	}
	if resp.Error != "" {
		return nil, errors.New(resp.Error)
	}
	return resp.Body, nil
}

func (c *Client) query(ctx context.Context, query *Query) ([]byte, error) {
	if c.StaleReads {
		query.Stale = true
		c.mu.Lock()
		c.leader = c.voters[rand.IntN(len(c.voters))]
		c.mu.Unlock()
	}
	resp, err := c.callLeader(ctx, methodRead, pack.Pack(query))
	return resp.Body, err
}

// Renew renews the ownership of duties by this run. It returns the tokens that were confirmed.
func (c *Client) Renew(ctx context.Context, tokens map[string]uint64) (map[string]uint64, error) {
	c.mu.Lock()
	renewal := Renewal{c.self, c.epoch, tokens}
	c.mu.Unlock()
	resp, err := c.callLeader(ctx, methodRenew, pack.Pack(&renewal))
	if err != nil {
		return nil, err
	}
	var confirmed Renewal
	if err := pack.Unpack(resp.Body, &confirmed); err != nil {
		return nil, err
	}
	return confirmed.Tokens, nil
}

// Status asks one replica for its status.
func (c *Client) Status(ctx context.Context, name string) (status Status, err error) {
	raw, err := c.transport.Call(ctx, name, c.method(methodRead), pack.Pack(&Query{Kind: "status", Stale: true}))
	if err != nil {
		return status, err
	}
	var resp reply
	if err := pack.Unpack(raw, &resp); err != nil {
		return status, err
	}
	if resp.Error != "" {
		return status, errors.New(resp.Error)
	}
	return status, json.Unmarshal(resp.Body, &status)
}

// Admin sends an operator's request to the leader.
func (c *Client) Admin(ctx context.Context, request AdminRequest) ([]byte, error) {
	for attempt := 0; ; attempt++ {
		c.mu.Lock()
		target := c.leader
		c.mu.Unlock()
		if target == "" {
			target = c.voters[attempt%len(c.voters)]
		}
		attemptCtx, cancel := context.WithTimeout(ctx, 5*attemptTimeout)
		raw, err := c.transport.Call(attemptCtx, target, c.method(methodAdmin), pack.Pack(&request))
		cancel()
		var resp reply
		if err == nil {
			err = pack.Unpack(raw, &resp)
		}
		if err == nil && resp.Error == "" {
			return resp.Body, nil
		}
		if err == nil && resp.Error != ErrNotLeader.Error() && resp.Leader == "" {
			return nil, errors.New(resp.Error) // reported by the leader itself
		}
		c.mu.Lock()
		c.leader = resp.Leader
		c.mu.Unlock()
		select {
		case <-ctx.Done():
			if err == nil {
				err = errors.New(resp.Error)
			}
			return nil, err
		case <-time.After(retryInterval):
		}
	}
}
