package keep

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/raft-wal/types"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"ottershift/internal/cluster/disk"
	"ottershift/internal/cluster/link"
	"ottershift/internal/cluster/pack"
)

// Methods of calls between members. Each group has its own range of numbers.
const (
	methodsPerGroup uint16 = 32 // method numbers reserved for each group

	methodHello   uint16 = 10
	methodRaft    uint16 = 11
	methodPropose uint16 = 12
	methodRead    uint16 = 13
	methodRenew   uint16 = 14
	methodAdmin   uint16 = 15
	methodChunk   uint16 = 16
)

const (
	bootstrapHelloInterval = 200 * time.Millisecond // before the replica may vote; once a second afterwards
	unreachablePeerTimeout = 2 * time.Second        // after this the replica votes without the replies of unreachable peers
	helloTimeout           = 500 * time.Millisecond
	chunkBytes             = 512 << 10 // of a snapshot sent to a peer
	chunkTimeout           = 5 * time.Second
	requestQueueSize       = 4096
	maxBatch               = 512 // requests handled between two writes to the disk
	identityFile           = "identity"
	votersFile             = "seat"
	peersFile              = "seen"
)

// Transport connects a replica to the others: link.Link, or a substitute in tests.
type Transport interface {
	Handle(method uint16, handler link.Handler)
	Call(ctx context.Context, name string, method uint16, body []byte) ([]byte, error)
	Post(name string, method uint16, body []byte, timeout time.Duration) error
}

// Options configure a replica.
type Options struct {
	Cluster, Name   string
	Voters          []string
	Group           int
	Dir             string
	FS              disk.FS // the directory of the group
	VFS             types.VFS
	Transport       Transport
	ElectionTimeout time.Duration
	Lease           Lease
	Parts           map[byte]Part
	Checks          SafetyChecks
	Log             *slog.Logger
	OnChange        func() // called when the replicated state has changed; must not block, may be nil
}

// Replica runs the Core of one group on one member, with its store, clock and transport.
type Replica struct {
	options    Options
	startTime  time.Time
	diskID     string
	startCount uint64
	nonce      uint64
	requests   chan func(*Core)
	ctx        context.Context
	cancel     context.CancelFunc
	wg         sync.WaitGroup
	ready      chan struct{} // closed once the replica may vote

	mu               sync.Mutex
	bootstrap        *Bootstrap
	core             *Core // owned by run; others may only read State, under mu
	waitReason       string
	failure          error
	partialSnapshots map[string]*partialSnapshot // snapshots being received, by sender
}

// partialSnapshot is a snapshot of which some chunks have arrived.
type partialSnapshot struct {
	data []byte
	size int
}

// NewReplica opens the directory of a replica. The replica votes once it knows that it may.
func NewReplica(options Options) (*Replica, error) {
	rep := &Replica{options: options, startTime: time.Now(), requests: make(chan func(*Core), requestQueueSize), ready: make(chan struct{}), partialSnapshots: map[string]*partialSnapshot{}}
	rep.ctx, rep.cancel = context.WithCancel(context.Background())
	var identity struct {
		DiskID     string `json:"disk"`
		StartCount uint64 `json:"runs"`
	}
	raw, err := options.FS.Read(identityFile)
	switch {
	case err == nil:
		if err := json.Unmarshal(raw, &identity); err != nil {
			return nil, fmt.Errorf("%s: %w", identityFile, err)
		}
	case errors.Is(err, os.ErrNotExist):
		identity.DiskID = newDiskID()
	default:
		return nil, err
	}
	identity.StartCount++
	if raw, err = json.Marshal(identity); err == nil {
		// A run whose start count is not on disk could be taken for an older run.
		err = options.FS.Replace(identityFile, raw)
	}
	if err != nil {
		return nil, err
	}
	rep.diskID, rep.startCount = identity.DiskID, identity.StartCount
	var nonce [8]byte
	rand.Read(nonce[:])
	rep.nonce = binary.BigEndian.Uint64(nonce[:])
	var saved struct {
		Voter  *Voter  `json:"seat"`
		Voters []Voter `json:"seats"`
	}
	if raw, err := options.FS.Read(votersFile); err == nil {
		if err := json.Unmarshal(raw, &saved); err != nil {
			return nil, fmt.Errorf("%s: %w", votersFile, err)
		}
	}
	peers := map[string]peerRecord{}
	if raw, err := options.FS.Read(peersFile); err == nil {
		if err := json.Unmarshal(raw, &peers); err != nil {
			return nil, fmt.Errorf("%s: %w", peersFile, err)
		}
	}
	rep.bootstrap = NewBootstrap(options.Group, options.Name, rep.diskID, rep.startCount, rep.nonce, saved.Voter, saved.Voters, options.Voters, peers)
	rep.bootstrap.Self.Parts = string(slices.Sorted(maps.Keys(options.Parts)))
	for method, handler := range map[uint16]link.Handler{
		methodHello: rep.handleHello, methodRaft: rep.handleRaft, methodPropose: rep.handlePropose, methodRead: rep.handleRead, methodRenew: rep.handleRenew, methodAdmin: rep.handleAdmin, methodChunk: rep.handleChunk,
	} {
		options.Transport.Handle(method+methodsPerGroup*uint16(options.Group), handler)
	}
	return rep, nil
}

// Start starts the replica.
func (rep *Replica) Start() { rep.wg.Go(rep.run) }

// Close stops the replica. Everything that it has acknowledged is on its disk.
func (rep *Replica) Close() {
	rep.cancel()
	rep.wg.Wait()
}

func (rep *Replica) method(n uint16) uint16 { return n + methodsPerGroup*uint16(rep.options.Group) }

func (rep *Replica) now() int64 { return int64(time.Since(rep.startTime)) }

// otherVoters returns the names of all voters but this one.
func (rep *Replica) otherVoters() (names []string) {
	return slices.DeleteFunc(slices.Clone(rep.options.Voters), func(name string) bool { return name == rep.options.Name })
}

// savePeers saves the records of the peers. The caller holds mu.
func (rep *Replica) savePeers() error {
	raw, err := json.Marshal(rep.bootstrap.KnownPeers())
	if err != nil {
		return err
	}
	return rep.options.FS.Replace(peersFile, raw)
}

// saveVoters saves this disk's voter entry and all voters as last applied. The caller holds mu.
func (rep *Replica) saveVoters() error {
	raw, err := json.Marshal(map[string]any{"seat": rep.bootstrap.Voter, "seats": rep.bootstrap.Self.Voters})
	if err != nil {
		return err
	}
	return rep.options.FS.Replace(votersFile, raw)
}

// exchangeHellos sends a hello to all other voters, and takes their replies.
func (rep *Replica) exchangeHellos() {
	rep.mu.Lock()
	hello := pack.Pack(&rep.bootstrap.Self)
	rep.mu.Unlock()
	ctx, cancel := context.WithTimeout(rep.ctx, helloTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, name := range rep.otherVoters() {
		wg.Go(func() {
			raw, err := rep.options.Transport.Call(ctx, name, rep.method(methodHello), hello)
			var resp HelloReply
			if err != nil || pack.Unpack(raw, &resp) != nil {
				return
			}
			rep.mu.Lock()
			defer rep.mu.Unlock()
			rep.bootstrap.HandleReply(&resp)
		})
	}
	wg.Wait()
}

// handleHello answers the hello of another replica.
func (rep *Replica) handleHello(_ context.Context, _ string, body []byte) ([]byte, error) {
	var hello Hello
	if err := pack.Unpack(body, &hello); err != nil {
		return nil, err
	}
	rep.mu.Lock()
	defer rep.mu.Unlock()
	resp, changed := rep.bootstrap.HandleHello(&hello)
	if changed {
		if err := rep.savePeers(); err != nil {
			return nil, err
		}
	}
	return pack.Pack(&resp), nil
}

// run waits until the replica may vote, and then drives its core.
func (rep *Replica) run() {
	defer func() {
		// The Raft library panics if a message contradicts its log. The replica must not continue then.
		if recovered := recover(); recovered != nil {
			rep.fail(fmt.Errorf("local log contradicts the group: %v", recovered))
		}
	}()
	store, stored, err := OpenDiskStore(rep.options.Dir, rep.options.FS, rep.options.VFS)
	if err != nil {
		rep.fail(err)
		return
	}
	defer store.Close()
	if !rep.waitUntilMayVote(store, stored) {
		return
	}
	rep.mu.Lock()
	id := rep.bootstrap.Voter.ID
	state := NewState(rep.options.Cluster, nil, rep.options.Parts, rep.options.Checks)
	core, err := NewCore(id, rep.startCount, stored, state, rep.options.Lease, rep.now())
	rep.core = core
	rep.mu.Unlock()
	if err != nil {
		rep.fail(err)
		return
	}
	rep.options.Log.Info("keeper", "step", "begun", "group", rep.options.Group, "seat", id, "run", rep.startCount, "entries", len(stored.Entries))
	close(rep.ready)
	rep.wg.Go(rep.helloLoop)
	ticker := time.NewTicker(rep.options.ElectionTimeout / electionTicks)
	defer ticker.Stop()
	wasLeader, leader, lastIndex := false, uint64(0), uint64(0)
	for {
		select {
		case <-ticker.C:
			rep.withLock(func() { core.Tick(rep.now()) })
		case request := <-rep.requests:
			rep.withLock(func() { request(core) })
		case <-rep.ctx.Done():
			return
		}
		for range maxBatch { // requests that came meanwhile share one sync
			select {
			case request := <-rep.requests:
				rep.withLock(func() { request(core) })
				continue
			default:
			}
			break
		}
		var err error
		changed := false
		rep.withLock(func() {
			if err = core.ProcessReady(rep.now(), store, rep.sendMessage); err == nil && core.State.Index != lastIndex {
				lastIndex = core.State.Index
				changed = true
				if rep.bootstrap.UpdateVoters(core.State.Voters) {
					err = rep.saveVoters()
				}
			}
		})
		if err != nil {
			rep.fail(err)
			return
		}
		if core.IsLeader() != wasLeader || core.Leader() != leader {
			wasLeader, leader = core.IsLeader(), core.Leader()
			rep.options.Log.Info("keeper", "step", "leader", "group", rep.options.Group, "leads", wasLeader, "leader", rep.nameOf(leader))
			changed = true
		}
		if changed && rep.options.OnChange != nil {
			rep.options.OnChange()
		}
	}
}

// withLock calls f under the lock with which others read the core.
func (rep *Replica) withLock(f func()) {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	f()
}

// fail stops a replica whose disk or log is not trusted any more. Continuing could acknowledge entries that are not
// on disk.
func (rep *Replica) fail(err error) {
	rep.mu.Lock()
	rep.failure = err
	rep.mu.Unlock()
	rep.options.Log.Error("keeper", "step", "failed", "group", rep.options.Group, "fault", err)
	rep.cancel()
}

// waitUntilMayVote waits until this run may vote. What it learns meanwhile is saved before it takes effect.
func (rep *Replica) waitUntilMayVote(store *DiskStore, stored *StoredState) bool {
	started := time.Now()
	lastReason := ""
	for {
		rep.mu.Lock()
		rep.bootstrap.ClearRejection()
		rep.mu.Unlock()
		rep.exchangeHellos()
		rep.mu.Lock()
		formed := rep.bootstrap.FormGroup()
		mayVote, reason := rep.bootstrap.MayVote(time.Since(started) > unreachablePeerTimeout)
		rep.waitReason = reason
		var err error
		if mayVote {
			err = errors.Join(rep.savePeers(), rep.saveVoters())
		}
		voters, isFounder := rep.bootstrap.Self.Voters, rep.bootstrap.IsFounder()
		rep.mu.Unlock()
		if err == nil && mayVote && stored.Snapshot == nil && len(stored.Entries) == 0 && isFounder {
			stored.Snapshot = InitialSnapshot(NewState(rep.options.Cluster, voters, rep.options.Parts, rep.options.Checks))
			err = store.SaveSnapshot(stored.Snapshot, 0)
		}
		if err != nil {
			rep.fail(err)
			return false
		}
		if mayVote {
			return true
		}
		if reason != lastReason && !formed {
			lastReason = reason
			level := slog.LevelInfo
			// Rejections that need an operator name the replace command.
			if strings.Contains(reason, "replace") {
				level = slog.LevelError
			}
			rep.options.Log.Log(rep.ctx, level, "keeper", "step", "waits", "group", rep.options.Group, "why", reason)
		}
		select {
		case <-time.After(bootstrapHelloInterval):
		case <-rep.ctx.Done():
			return false
		}
	}
}

// helloLoop sends hellos once a second, so that the peers know the newest run.
func (rep *Replica) helloLoop() {
	for {
		select {
		case <-time.After(time.Second):
			rep.exchangeHellos()
		case <-rep.ctx.Done():
			return
		}
	}
}

// nameOf returns the name of a voter, or "".
func (rep *Replica) nameOf(id uint64) string {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	return rep.nameLocked(id)
}

// nameLocked is nameOf for callers that hold mu.
func (rep *Replica) nameLocked(id uint64) string {
	if rep.core != nil {
		if voter := rep.core.State.Voters[id]; voter != nil {
			return voter.Name
		}
	}
	for _, voter := range rep.bootstrap.Self.Voters {
		if voter.ID == id {
			return voter.Name
		}
	}
	return ""
}

// envelope carries a Raft message with the disk and run of its sender.
type envelope struct {
	Group         int    `codec:"g"`
	Name          string `codec:"n"`
	DiskID        string `codec:"d"`
	StartCount    uint64 `codec:"r"`
	Nonce         uint64 `codec:"o"`
	Data          []byte `codec:"m"`
	SnapshotBytes int    `codec:"t,omitempty"` // total size of a snapshot that is sent in chunks
	Offset        int    `codec:"a,omitempty"`
	SnapshotKey   string `codec:"k,omitempty"`
}

// sendMessage posts a Raft message. The caller holds mu. A snapshot is sent in chunks by a goroutine of its own.
func (rep *Replica) sendMessage(to uint64, msg *raftpb.Message) {
	data, err := proto.Marshal(msg)
	name := rep.nameLocked(to)
	if err != nil || name == "" {
		return
	}
	env := envelope{Group: rep.options.Group, Name: rep.options.Name, DiskID: rep.diskID, StartCount: rep.startCount, Nonce: rep.nonce, Data: data}
	if msg.GetType() == raftpb.MsgSnap {
		env.SnapshotKey = fmt.Sprintf("%s %d %d", rep.diskID, msg.GetTerm(), msg.GetSnapshot().GetMetadata().GetIndex())
		rep.wg.Go(func() { rep.sendSnapshot(to, name, env) })
		return
	}
	if rep.options.Transport.Post(name, rep.method(methodRaft), pack.Pack(&env), rep.options.ElectionTimeout) != nil {
		rep.core.raft.ReportUnreachable(to)
	}
}

// sendSnapshot sends a snapshot message in chunks, and reports the outcome to Raft.
func (rep *Replica) sendSnapshot(to uint64, name string, env envelope) {
	data := env.Data
	env.SnapshotBytes = len(data)
	status := raft.SnapshotFinish
	for env.Offset = 0; env.Offset < env.SnapshotBytes; env.Offset += chunkBytes {
		env.Data = data[env.Offset:min(env.Offset+chunkBytes, env.SnapshotBytes)]
		ctx, cancel := context.WithTimeout(rep.ctx, chunkTimeout)
		_, err := rep.options.Transport.Call(ctx, name, rep.method(methodChunk), pack.Pack(&env))
		cancel()
		if err != nil {
			status = raft.SnapshotFailure
			break
		}
	}
	rep.enqueue(func(c *Core) { c.raft.ReportSnapshot(to, status) })
}

// handleChunk receives a chunk of a snapshot message, and delivers the message once it is complete.
func (rep *Replica) handleChunk(_ context.Context, _ string, body []byte) ([]byte, error) {
	var env envelope
	if err := pack.Unpack(body, &env); err != nil {
		return nil, err
	}
	if env.SnapshotBytes > pack.MaxSize || env.Offset < 0 {
		return nil, pack.ErrTooLong
	}
	rep.mu.Lock()
	partial := rep.partialSnapshots[env.Name]
	if env.Offset == 0 {
		partial = &partialSnapshot{size: env.SnapshotBytes}
		rep.partialSnapshots[env.Name] = partial
	}
	if partial == nil || len(partial.data) != env.Offset {
		rep.mu.Unlock()
		return nil, errors.New("snapshot chunk out of order: an earlier chunk is missing")
	}
	partial.data = append(partial.data, env.Data...)
	complete := len(partial.data) >= partial.size
	if complete {
		delete(rep.partialSnapshots, env.Name)
		env.Data = partial.data
	}
	rep.mu.Unlock()
	if complete {
		return nil, rep.deliver(&env)
	}
	return nil, nil
}

// handleRaft receives a Raft message.
func (rep *Replica) handleRaft(_ context.Context, _ string, body []byte) ([]byte, error) {
	var env envelope
	if err := pack.Unpack(body, &env); err != nil {
		return nil, err
	}
	return nil, rep.deliver(&env)
}

// deliver passes a message to the core if it comes from the disk and run that are known under the sender's name.
func (rep *Replica) deliver(env *envelope) error {
	msg := &raftpb.Message{}
	if err := proto.Unmarshal(env.Data, msg); err != nil {
		return err
	}
	rep.mu.Lock()
	core := rep.core
	rejection := ""
	if core != nil {
		if voter := core.State.Voters[msg.GetFrom()]; voter != nil && (voter.DiskID != env.DiskID || voter.Name != env.Name) {
			rejection = "the sender's voter entry belongs to another disk"
		} else if voter == nil && len(core.State.Voters) > 0 && msg.GetTerm() <= core.term {
			rejection = "the sender is not a voter"
		}
		if rep.bootstrap.peers[env.Name].isStale(env.DiskID, env.StartCount, env.Nonce) {
			rejection = "the sender's directory is an old copy"
		}
	}
	rep.mu.Unlock()
	if core == nil || msg.GetTo() != core.ID || env.Group != rep.options.Group {
		return nil
	}
	if rejection != "" {
		return errors.New(rejection)
	}
	rep.enqueue(func(c *Core) { c.Step(rep.now(), msg) })
	return nil
}

// enqueue passes a request to the run loop. It reports false if the replica does not vote yet, the queue is full or
// the replica is closed.
func (rep *Replica) enqueue(request func(*Core)) bool {
	select {
	case <-rep.ready:
	default:
		return false
	}
	select {
	case rep.requests <- request:
		return true
	case <-rep.ctx.Done():
		return false
	default:
		return false
	}
}

// reply is the answer to a member's command, query or request.
type reply struct {
	Result         Result `codec:"a"`
	Error          string `codec:"f,omitempty"` // why the command was not committed
	MayHaveApplied bool   `codec:"l,omitempty"` // despite Error, the command may have been committed
	Leader         string `codec:"h,omitempty"` // name of the current leader
	Body           []byte `codec:"b,omitempty"`
}

// awaitReply submits a request to the core and waits for its reply. If the replica stops or the time ends first, the
// outcome is unknown.
func (rep *Replica) awaitReply(ctx context.Context, submit func(c *Core, done func(reply))) ([]byte, error) {
	replies := make(chan reply, 1)
	if !rep.enqueue(func(c *Core) { submit(c, func(resp reply) { replies <- resp }) }) {
		rep.mu.Lock()
		reason := rep.waitReason
		if rep.failure != nil {
			reason = rep.failure.Error()
		}
		rep.mu.Unlock()
		return pack.Pack(&reply{Error: "this replica does not accept requests: " + reason}), nil
	}
	select {
	case resp := <-replies:
		return pack.Pack(&resp), nil
	case <-ctx.Done():
	case <-rep.ctx.Done():
	}
	return pack.Pack(&reply{Error: "no quorum in time", MayHaveApplied: true}), nil
}

// errorReply reports an error together with the current leader. The caller holds mu.
func (rep *Replica) errorReply(err error) reply {
	return reply{Error: err.Error(), MayHaveApplied: errors.Is(err, ErrLeadershipLost), Leader: rep.nameLocked(rep.core.Leader())}
}

// handlePropose proposes a member's command.
func (rep *Replica) handlePropose(ctx context.Context, _ string, body []byte) ([]byte, error) {
	cmd := &Command{}
	if err := pack.Unpack(body, cmd); err != nil {
		return nil, err
	}
	return rep.awaitReply(ctx, func(core *Core, done func(reply)) {
		if cmd.Kind == PartCommand && !rep.bootstrap.AllSupport(cmd.Part) {
			done(rep.errorReply(fmt.Errorf("not all voters run a build that supports part %d", cmd.Part)))
			return
		}
		core.Propose(cmd, func(result Result, err error) {
			if err != nil {
				done(rep.errorReply(err))
				return
			}
			done(reply{Result: result})
		})
	})
}

// Query is a read request.
type Query struct {
	Kind  string `codec:"w"` // "duties", "status", "part"
	Stale bool   `codec:"s,omitempty"`
	Part  byte   `codec:"p,omitempty"`
	Body  []byte `codec:"b,omitempty"`
}

// ReadablePart is a part that answers queries.
type ReadablePart interface {
	Read(body []byte) []byte
}

// handleRead answers a query, linearizably unless it allows stale state.
func (rep *Replica) handleRead(ctx context.Context, _ string, body []byte) ([]byte, error) {
	var query Query
	if err := pack.Unpack(body, &query); err != nil {
		return nil, err
	}
	return rep.awaitReply(ctx, func(core *Core, done func(reply)) {
		if query.Stale {
			done(reply{Body: rep.answerQuery(core, &query)})
			return
		}
		core.Read(rep.now(), func(_ int64, err error) {
			if err != nil {
				done(rep.errorReply(err))
				return
			}
			done(reply{Body: rep.answerQuery(core, &query)})
		})
	})
}

// StateView is the answer to a read of duties and sessions.
type StateView struct {
	Index     uint64    `codec:"i"`
	Staleness int64     `codec:"a"` // upper bound of the state's age in nanoseconds
	Duties    []Duty    `codec:"d,omitempty"`
	Sessions  []Session `codec:"s,omitempty"`
}

// answerQuery answers a query from the state of this replica.
func (rep *Replica) answerQuery(core *Core, query *Query) []byte {
	switch query.Kind {
	case "status":
		raw, _ := json.Marshal(core.Status(rep.now()))
		return raw
	case "part":
		if part, ok := rep.options.Parts[query.Part].(ReadablePart); ok {
			return part.Read(query.Body)
		}
		return nil
	}
	view := StateView{Index: core.State.Index, Staleness: int64(core.Staleness(rep.now()))}
	for _, duty := range core.State.Duties {
		view.Duties = append(view.Duties, *duty)
	}
	slices.SortFunc(view.Duties, func(x, y Duty) int { return strings.Compare(x.Name, y.Name) })
	for _, session := range core.State.Sessions {
		withoutResults := *session
		withoutResults.Results = nil
		view.Sessions = append(view.Sessions, withoutResults)
	}
	slices.SortFunc(view.Sessions, func(x, y Session) int { return strings.Compare(x.Member, y.Member) })
	return pack.Pack(&view)
}

// Renewal is an owner's request to renew the ownership of duties, and the reply to it.
type Renewal struct {
	Member string            `codec:"m"`
	Epoch  uint64            `codec:"e"`
	Tokens map[string]uint64 `codec:"t"` // by duty
}

// handleRenew renews ownerships once a quorum has confirmed the leadership. The lease counts from the arrival of the
// owner's request.
func (rep *Replica) handleRenew(ctx context.Context, _ string, body []byte) ([]byte, error) {
	var renewal Renewal
	if err := pack.Unpack(body, &renewal); err != nil {
		return nil, err
	}
	return rep.awaitReply(ctx, func(core *Core, done func(reply)) {
		core.Read(rep.now(), func(requestedAt int64, err error) {
			if err != nil {
				done(rep.errorReply(err))
				return
			}
			confirmed := map[string]uint64{}
			for duty, token := range renewal.Tokens {
				if result := core.Renew(requestedAt, duty, token, renewal.Member, renewal.Epoch); result.Code == CodeOK {
					confirmed[duty] = token
				}
			}
			done(reply{Body: pack.Pack(&Renewal{renewal.Member, renewal.Epoch, confirmed})})
		})
	})
}

// AdminRequest is an operator's request to a group.
type AdminRequest struct {
	Action string `codec:"w"` // "replace", "transfer", "snapshot"
	Name   string `codec:"n,omitempty"`
}

// handleAdmin executes an operator's request on the leader.
func (rep *Replica) handleAdmin(ctx context.Context, _ string, body []byte) ([]byte, error) {
	var request AdminRequest
	if err := pack.Unpack(body, &request); err != nil {
		return nil, err
	}
	return rep.awaitReply(ctx, func(core *Core, done func(reply)) {
		if !core.IsLeader() {
			done(rep.errorReply(ErrNotLeader))
			return
		}
		var err error
		switch request.Action {
		case "replace":
			diskID := rep.bootstrap.PendingDisk(request.Name)
			if diskID == "" {
				err = fmt.Errorf("no replica called %q with a new directory waits for admission; start it first", request.Name)
				break
			}
			err = core.ReplaceVoter(request.Name, diskID)
		case "transfer":
			err = fmt.Errorf("no voter is called %q", request.Name)
			for _, voter := range core.State.Voters {
				if voter.Name == request.Name {
					err = core.TransferLeadership(voter.ID)
				}
			}
		case "snapshot":
			done(reply{Body: core.State.Save()})
			return
		default:
			err = fmt.Errorf("unknown action %q", request.Action)
		}
		if err != nil {
			done(reply{Error: err.Error()})
			return
		}
		done(reply{Result: Result{Code: CodeOK}})
	})
}

// Status returns the status of this replica for metrics and operators, or the reason why it does not vote.
func (rep *Replica) Status() (status Status, reason string) {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	if rep.failure != nil {
		return status, "failed: " + rep.failure.Error()
	}
	if rep.core == nil {
		return status, rep.waitReason
	}
	return rep.core.Status(rep.now()), ""
}
