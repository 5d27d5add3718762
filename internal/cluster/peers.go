package cluster

import (
	"encoding/binary"
	"slices"
	"time"

	"ottershift/internal/cluster/link"
	"ottershift/internal/roster"
)

const (
	mostSaid   = 256 // bytes that one module says to another at once
	mostQueued = 256 // such messages that wait to be sent; beyond it they are dropped
	peersHead  = 9   // pool, sender's part, receiver's part, length of the sender's name
)

// Sink takes what peers say; numbers are those of modules over all balancers. The bytes are its own only until it returns.
type Sink interface {
	HandleReport(from, to int, raw []byte)
}

// Route carries what the balancers of one pool say to one another, among the members that count at present. Datagrams
// name their sender, not its number: two members may number the others differently while their views differ.
type Route struct {
	c     *Cluster
	pool  uint32
	parts int
	names []string // by index
	own   int
	sink  Sink
}

type said struct {
	name    string
	payload []byte
}

// Counted are the members that count as balancers of a pool, by name: the living, and those held dead for less than a
// time, since they may be behind a link that is cut and still send. Who left by intent doesn't count.
func (c *Cluster) Counted(pool string, dead time.Duration) (names []string, own int) {
	for _, m := range c.gossip.MembersServing(pool, dead) {
		names = append(names, m.Name)
	}
	return names, slices.Index(names, c.o.Settings.Self)
}

// Follow has what is said of a pool given to a sink, among these members; it takes the place of the route before.
func (c *Cluster) Follow(pool string, names []string, own, parts int, sink Sink) *Route {
	r := &Route{c, roster.Number(pool), parts, names, own, sink}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pools[r.pool] = r
	if c.said == nil {
		c.said = make(chan said, mostQueued)
		c.all.Go(c.speak)
	}
	return r
}

// Unfollow ends a pool's route.
func (c *Cluster) Unfollow(pool string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pools, roster.Number(pool))
}

// SendReport implements httpwire.Speaker. It never waits: what finds no room is lost.
func (r *Route) SendReport(from, to int, raw []byte) {
	i := to / r.parts
	if to < 0 || i >= len(r.names) || i == r.own || len(raw) > mostSaid {
		return
	}
	self := r.c.o.Settings.Self
	b := make([]byte, 0, peersHead+len(self)+len(raw))
	b = binary.BigEndian.AppendUint32(b, r.pool)
	b = binary.BigEndian.AppendUint16(b, uint16(from%r.parts))
	b = binary.BigEndian.AppendUint16(b, uint16(to%r.parts))
	b = append(append(append(b, byte(len(self))), self...), raw...)
	select {
	case r.c.said <- said{r.names[i], b}:
	default:
	}
}

// speak sends what modules say.
func (c *Cluster) speak() {
	for {
		select {
		case s := <-c.said:
			if address, known := c.gossip.Resolve(s.name); known {
				c.link.Send(link.KindPeers, s.name, address, s.payload) // lost if it fails: so may any be
			}
		case <-c.end:
			return
		}
	}
}

// told hands on what a peer says; what names no known sender, pool or part is passed over.
func (c *Cluster) told(b []byte) {
	if len(b) < peersHead || len(b) < peersHead+int(b[8]) || len(b) > peersHead+255+mostSaid {
		return
	}
	c.mu.Lock()
	r := c.pools[binary.BigEndian.Uint32(b)]
	c.mu.Unlock()
	if r == nil {
		return
	}
	from, to := int(binary.BigEndian.Uint16(b[4:])), int(binary.BigEndian.Uint16(b[6:]))
	i := slices.Index(r.names, string(b[peersHead:peersHead+int(b[8])]))
	if i < 0 || i == r.own || r.own < 0 || from >= r.parts || to >= r.parts {
		return
	}
	r.sink.HandleReport(i*r.parts+from, r.own*r.parts+to, b[peersHead+int(b[8]):])
}
