package consensus_test

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"math/rand"
	"sort"
	"time"

	"google.golang.org/protobuf/proto"

	"cowsliptiller/coord/consensus"
	"cowsliptiller/coord/coordpb"
)

const (
	heartbeat       = 10 * time.Millisecond
	electionTimeout = 100 * time.Millisecond
	maxInFlight     = 400 // messages; the oldest are lost beyond
	padding         = 300 // bytes of a snapshot beyond its hash, to make several chunks
)

// disk is what a member has synced.
type disk struct{ durable consensus.Durable }

func (d *disk) save(w *consensus.Write) {
	if !w.Sync {
		return
	}
	entries := d.durable.Entries
	if w.Reset {
		entries = nil
	}
	if len(w.Entries) > 0 {
		entries = append(before(entries, w.Entries[0].Index), w.Entries...)
	}
	if w.Snapshot != nil {
		d.durable.Snapshot = w.Snapshot
		entries = entries[len(before(entries, w.KeepFrom)):]
	}
	d.durable.Entries = entries
	d.durable.HardState = w.HardState
}

func before(entries []*coordpb.Entry, index uint64) []*coordpb.Entry {
	n := sort.Search(len(entries), func(i int) bool { return entries[i].Index >= index })
	return entries[:n:n]
}

// machine is a state that depends on every entry and their order.
type machine struct{ index, hash, value, revision uint64 }

func (m *machine) apply(e *coordpb.Entry) {
	h := fnv.New64a()
	_ = binary.Write(h, binary.BigEndian, []uint64{m.hash, e.Index, uint64(e.Kind)})
	_, _ = h.Write(e.Data)
	m.index, m.hash = e.Index, h.Sum64()
	if e.Kind == coordpb.EntryKind_ENTRY_KIND_COMMAND {
		m.value = binary.BigEndian.Uint64(e.Data[len(e.Data)-8:])
		m.revision++
	}
}

func (m *machine) snapshot() []byte {
	data := binary.BigEndian.AppendUint64(nil, m.hash)
	data = binary.BigEndian.AppendUint64(data, m.value)
	data = binary.BigEndian.AppendUint64(data, m.revision)
	return append(data, make([]byte, padding)...)
}

// member is one member with its disk, its clock and its state.
type member struct {
	id      uint64
	rate    float64 // its clock's rate
	raft    *consensus.Raft
	disk    disk
	writing *consensus.Write
	machine machine
	frozen  bool // neither takes messages nor looks at its clock
	lost    bool // its disk is gone: it never returns
	starts  int64
	reads   []consensus.ReadState // wait to be applied
}

// link is one way between two members.
type link struct{ from, to uint64 }

// cluster runs members over a network that loses, repeats, reorders and delays.
// It fails as soon as an oracle is broken.
type cluster struct {
	random    *rand.Rand
	now       time.Duration
	members   map[uint64]*member
	flight    []*coordpb.Message
	cut       map[link]bool // ways that no message passes
	nextID    uint64
	nextValue uint64

	leaders   map[uint64]uint64 // term -> leader
	committed map[uint64]uint64 // index -> hash of the entry
	states    map[uint64]uint64 // index -> hash of the state
	maxCommit uint64
	reads     map[uint64]uint64 // read -> highest commit when it was asked
	nextRead  uint64
	served    int // reads
	history   history
	storm     bool
	broken    string
}

func newCluster(seed int64, size int) *cluster {
	c := &cluster{
		random: rand.New(rand.NewSource(seed)), members: map[uint64]*member{}, cut: map[link]bool{},
		leaders: map[uint64]uint64{}, committed: map[uint64]uint64{}, states: map[uint64]uint64{}, reads: map[uint64]uint64{}, history: newHistory(),
	}
	var first []*coordpb.Member
	for i := 1; i <= size; i++ {
		first = append(first, &coordpb.Member{Id: uint64(i), Address: fmt.Sprint(i)})
	}
	for range first {
		c.add(consensus.Bootstrap(first))
	}
	return c
}

// add starts a member under an id that was never used.
func (c *cluster) add(d consensus.Durable) *member {
	c.nextID++
	// Clocks differ by up to five hundredths, which the lease's margin must cover.
	m := &member{id: c.nextID, rate: 0.95 + 0.1*c.random.Float64(), disk: disk{d}}
	c.members[m.id] = m
	c.start(m)
	return m
}

func (c *cluster) clock(m *member) time.Duration { return time.Duration(float64(c.now) * m.rate) }

func (c *cluster) start(m *member) {
	m.starts++
	config := consensus.Config{
		ID: m.id, ElectionTimeout: electionTimeout, HeartbeatInterval: heartbeat,
		MaxAppendBytes: 80, MaxInflight: 4, ChunkBytes: 100,
		Random: rand.New(rand.NewSource(int64(m.id)*1000 + m.starts)),
	}
	r, err := consensus.New(config, m.disk.durable, c.clock(m))
	if err != nil {
		c.fail("member %d cannot start: %v", m.id, err)
		return
	}
	m.raft, m.reads = r, nil
	m.machine = machine{}
	c.load(m, m.disk.durable.Snapshot)
}

func (c *cluster) load(m *member, s *coordpb.Snapshot) {
	if s.Meta.Index == 0 {
		return
	}
	if len(s.Data) != 24+padding {
		c.fail("member %d got a snapshot of %d bytes", m.id, len(s.Data))
		return
	}
	m.machine = machine{index: s.Meta.Index, hash: binary.BigEndian.Uint64(s.Data), value: binary.BigEndian.Uint64(s.Data[8:]), revision: binary.BigEndian.Uint64(s.Data[16:])}
	c.checkState(m)
}

func (c *cluster) fail(format string, args ...any) {
	if c.broken == "" {
		c.broken = fmt.Sprintf("at %v: ", c.now) + fmt.Sprintf(format, args...)
	}
}

// ids returns the members in order: a map's order must decide nothing.
func (c *cluster) ids() []uint64 {
	ids := make([]uint64, 0, len(c.members))
	for id := range c.members {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

// pick returns a member for which ok holds, or nil.
func (c *cluster) pick(ok func(*member) bool) *member {
	var fit []*member
	for _, id := range c.ids() {
		if m := c.members[id]; ok(m) {
			fit = append(fit, m)
		}
	}
	if len(fit) == 0 {
		return nil
	}
	return fit[c.random.Intn(len(fit))]
}

func up(m *member) bool { return m.raft != nil && !m.frozen }

func leads(m *member) bool { return up(m) && m.raft.Status().Role == consensus.Leader }

// pump moves out what a member has ready, and checks the oracles.
func (c *cluster) pump(m *member) {
	if m.raft == nil {
		return
	}
	c.post(m.raft.Messages())
	if m.writing == nil {
		m.writing = m.raft.NextWrite()
	}
	if m.writing != nil && !m.writing.Sync {
		c.sync(m)
		return
	}
	c.apply(m)
	c.observe(m)
	c.serve(m)
}

// serve answers the reads whose index is applied.
func (c *cluster) serve(m *member) {
	var waiting []consensus.ReadState
	for _, r := range m.reads {
		if r.Index > m.machine.index {
			waiting = append(waiting, r)
			continue
		}
		c.served++
		c.history.answered(r.ID, m.machine)
	}
	m.reads = waiting
}

func (c *cluster) post(messages []*coordpb.Message) {
	for _, m := range messages {
		if c.cut[link{m.From, m.To}] {
			continue
		}
		c.flight = append(c.flight, proto.Clone(m).(*coordpb.Message))
	}
	if over := len(c.flight) - maxInFlight; over > 0 {
		c.flight = append([]*coordpb.Message(nil), c.flight[over:]...)
	}
}

// sync ends the write that is out.
func (c *cluster) sync(m *member) {
	w := m.writing
	if w == nil || m.raft == nil {
		return
	}
	m.writing = nil
	m.disk.save(w)
	c.post(w.Messages)
	m.raft.Written(c.clock(m), w)
	c.pump(m)
}

func (c *cluster) apply(m *member) {
	a := m.raft.Committed()
	if a.Snapshot != nil {
		c.load(m, a.Snapshot)
	}
	for _, e := range a.Entries {
		if e.Index != m.machine.index+1 {
			c.fail("member %d applies %d after %d", m.id, e.Index, m.machine.index)
			return
		}
		c.checkEntry(m, e)
		m.machine.apply(e)
		c.history.applied(m, e)
		c.checkState(m)
	}
}

func (c *cluster) checkEntry(m *member, e *coordpb.Entry) {
	h := fnv.New64a()
	_ = binary.Write(h, binary.BigEndian, []uint64{e.Index, e.Term, uint64(e.Kind)})
	_, _ = h.Write(e.Data)
	sum := h.Sum64()
	if was, found := c.committed[e.Index]; found && was != sum {
		c.fail("committed entry %d changed: member %d applies another one, of term %d", e.Index, m.id, e.Term)
	}
	c.committed[e.Index] = sum
}

func (c *cluster) checkState(m *member) {
	if was, found := c.states[m.machine.index]; found && was != m.machine.hash {
		c.fail("member %d has another state at index %d", m.id, m.machine.index)
	}
	c.states[m.machine.index] = m.machine.hash
}

// observe checks leaders, leases and reads.
func (c *cluster) observe(m *member) {
	s := m.raft.Status()
	c.maxCommit = max(c.maxCommit, s.Commit)
	if s.Role == consensus.Leader {
		if was, found := c.leaders[s.Term]; found && was != m.id {
			c.fail("members %d and %d both lead term %d", was, m.id, s.Term)
		}
		c.leaders[s.Term] = m.id
	}
	for _, r := range m.raft.Reads() {
		m.reads = append(m.reads, r)
		if r.Index < c.reads[r.ID] {
			c.fail("read %d at member %d got index %d, but %d was committed before it", r.ID, m.id, r.Index, c.reads[r.ID])
		}
	}
	c.checkLeases()
}

// checkLeases fails when a member holds a lease while another leads a later
// term. A frozen member counts: what it holds is compared with its clock when it
// acts, as the driver does.
func (c *cluster) checkLeases() {
	for _, id := range c.ids() {
		holder := c.members[id]
		if holder.raft == nil {
			continue
		}
		h := holder.raft.Status()
		if h.Role != consensus.Leader || h.Lease <= c.clock(holder) {
			continue
		}
		for _, other := range c.members {
			if other.raft == nil {
				continue
			}
			o := other.raft.Status()
			if o.Role == consensus.Leader && o.Term > h.Term {
				c.fail("member %d holds the lease of term %d while member %d leads term %d", id, h.Term, other.id, o.Term)
			}
		}
	}
}

func (c *cluster) step(m *coordpb.Message) {
	to := c.members[m.To]
	if to == nil || to.raft == nil || to.lost || c.cut[link{m.From, m.To}] {
		return
	}
	if err := to.raft.Step(c.clock(to), proto.Clone(m).(*coordpb.Message)); err != nil {
		c.fail("member %d: %v", to.id, err)
		return
	}
	c.pump(to)
}
