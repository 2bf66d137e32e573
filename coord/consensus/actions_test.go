package consensus_test

import (
	"encoding/binary"
	"time"

	"cowsliptiller/coord/consensus"
	"cowsliptiller/coord/coordpb"
)

// Rates out of a thousand steps. Failures come in storms with quiet times
// between them: a cluster that is always broken commits nothing worth losing.
const (
	stormChange   = 2
	stormRecovery = 10
	quietRecovery = 40
	maxDelivered  = 16 // messages in one step
)

// schedule is one run: all that happens follows from it. Rates are out of a thousand steps.
type schedule struct {
	Seed    int64
	Members int
	Steps   int
	Loss    int
	Repeat  int
	Reorder int
	Crash   int
	Freeze  int
	Cut     int
	Disk    int
	Change  int
	Hand    int
}

// run plays a schedule and then lets the cluster heal. It returns what broke.
func (s schedule) run() (c *cluster) {
	c = newCluster(s.Seed, s.Members)
	for i := 0; i < s.Steps && c.broken == ""; i++ {
		c.act(s)
	}
	c.heal()
	return c
}

func (c *cluster) chance(perThousand int) bool { return c.random.Intn(1000) < perThousand }

// act does one step of ordinary work, and now and then lets something fail.
func (c *cluster) act(s schedule) {
	switch c.random.Intn(10) {
	case 0:
		c.passTime(time.Duration(1+c.random.Intn(10)) * time.Millisecond)
	case 1, 2:
		c.syncSome()
	case 3:
		c.propose()
	case 4:
		c.read()
	default:
		c.deliver(s)
	}
	if c.chance(stormChange) {
		c.storm = !c.storm
	}
	if c.storm {
		c.mishap(s)
	}
	c.recover()
	if c.chance(10) {
		c.compact()
	}
}

func (c *cluster) mishap(s schedule) {
	if c.chance(s.Crash) {
		c.crash()
	}
	if c.chance(s.Freeze) {
		c.freeze()
	}
	if c.chance(s.Cut) {
		c.cutOne()
	}
	if c.chance(s.Disk) {
		c.loseDisk()
	}
	for c.chance(s.Change) {
		c.changeMembers()
	}
	if c.chance(s.Hand) {
		c.handOver()
	}
}

// recover ends single failures, sooner in quiet times.
func (c *cluster) recover() {
	rate := quietRecovery
	if c.storm {
		rate = stormRecovery
	}
	if c.chance(rate) {
		c.restart()
	}
	if c.chance(rate) {
		c.thaw()
	}
	if c.chance(rate / 2) {
		c.cut = map[link]bool{}
	}
}

func (c *cluster) passTime(d time.Duration) {
	c.now += d
	for _, id := range c.ids() {
		if m := c.members[id]; up(m) {
			m.raft.Tick(c.clock(m))
			c.pump(m)
		}
	}
	c.checkLeases()
}

func (c *cluster) deliver(s schedule) {
	for n := 1 + c.random.Intn(maxDelivered); n > 0 && len(c.flight) > 0; n-- {
		i := 0
		if c.chance(s.Reorder) {
			i = c.random.Intn(len(c.flight))
		}
		m := c.flight[i]
		if to := c.members[m.To]; to != nil && to.frozen {
			// Waits at the frozen process: goes to the end of the line.
			c.flight = append(append(c.flight[:i:i], c.flight[i+1:]...), m)
			continue
		}
		if !c.chance(s.Repeat) {
			c.flight = append(c.flight[:i:i], c.flight[i+1:]...)
		}
		if !c.chance(s.Loss) {
			c.step(m)
		}
	}
}

// syncSome ends the writes of about half the members.
func (c *cluster) syncSome() {
	for _, id := range c.ids() {
		if m := c.members[id]; up(m) && c.random.Intn(2) == 0 {
			c.sync(m)
		}
	}
}

func (c *cluster) propose() {
	m := c.pick(leads)
	if m == nil {
		return
	}
	var batch [][]byte
	for n := 1 + c.random.Intn(3); n > 0; n-- {
		c.nextValue++
		batch = append(batch, binary.BigEndian.AppendUint64(make([]byte, c.random.Intn(60)), c.nextValue))
	}
	first, term, err := m.raft.Propose(c.clock(m), batch)
	for i := range batch {
		if err == nil {
			c.history.write(ticket{m.id, first + uint64(i), term}, c.nextValue-uint64(len(batch)-1-i))
		}
	}
	c.pump(m)
}

func (c *cluster) read() {
	if m := c.pick(leads); m != nil {
		c.readAt(m)
	}
}

func (c *cluster) readAt(m *member) {
	c.nextRead++
	c.reads[c.nextRead] = c.maxCommit
	if err := m.raft.ReadIndex(c.clock(m), c.nextRead); err == nil {
		c.history.read(c.nextRead)
	}
	c.pump(m)
}

func (c *cluster) compact() {
	m := c.pick(func(m *member) bool { return up(m) && m.machine.index > 0 })
	if m == nil {
		return
	}
	keep := m.machine.index - min(m.machine.index, uint64(c.random.Intn(6)))
	if err := m.raft.Compact(m.machine.index, keep, m.machine.snapshot()); err != nil {
		c.fail("compact: %v", err)
	}
	c.pump(m)
}

// crash stops a member. The write that was out may or may not have reached the
// disk; its messages were not sent in any case.
func (c *cluster) crash() {
	m := c.victim(func(m *member) bool { return m.raft != nil })
	if m == nil {
		return
	}
	if m.writing != nil && c.random.Intn(2) == 0 {
		m.disk.save(m.writing)
	}
	m.raft, m.writing, m.frozen = nil, nil, false
	if c.random.Intn(3) == 0 {
		c.start(m) // at once, as a supervisor does
		c.pump(m)
	}
}

func (c *cluster) restart() {
	if m := c.pick(func(m *member) bool { return m.raft == nil && !m.lost }); m != nil {
		c.start(m)
		c.pump(m)
	}
}

func (c *cluster) freeze() {
	if m := c.victim(up); m != nil {
		m.frozen = true
	}
}

// thaw wakes a frozen member. Callers may be the first to reach it then.
func (c *cluster) thaw() {
	m := c.pick(func(m *member) bool { return m.frozen })
	if m == nil {
		return
	}
	m.frozen = false
	if leads(m) && c.random.Intn(2) == 0 {
		c.readAt(m)
	}
}

// cutOne cuts a member off, or both ways or one way between two members.
func (c *cluster) cutOne() {
	m := c.victim(func(m *member) bool { return !m.lost })
	if m == nil {
		return
	}
	kind := c.random.Intn(3)
	others := c.ids()
	one := others[c.random.Intn(len(others))]
	for _, other := range others {
		if kind != 0 && other != one {
			continue
		}
		c.cut[link{m.id, other}] = true
		if kind != 1 {
			c.cut[link{other, m.id}] = true
		}
	}
}

// victim is pick, but half the time a leader: it is the leader's failure that
// puts most rules to the test.
func (c *cluster) victim(ok func(*member) bool) *member {
	if c.random.Intn(2) == 0 {
		if m := c.pick(func(m *member) bool { return leads(m) && ok(m) }); m != nil {
			return m
		}
	}
	return c.pick(ok)
}

// loseDisk ends a member for good where the others keep a quorum in whatever
// membership any of them holds: beyond that nothing can be promised.
func (c *cluster) loseDisk() {
	m := c.pick(func(m *member) bool { return !m.lost && c.keepsQuorumWithout(m.id) })
	if m == nil {
		return
	}
	m.raft, m.writing, m.frozen, m.lost = nil, nil, false, true
}

func (c *cluster) keepsQuorumWithout(id uint64) bool {
	for _, holder := range c.members {
		if holder.raft == nil && !holder.lost {
			return false // what it holds shows when it is up
		}
		if holder.lost {
			continue
		}
		members := holder.raft.Status().Members
		// A learner may be promoted just before its loss is noticed.
		if !c.quorumLeft(members, id, false) || !c.quorumLeft(members, id, true) {
			return false
		}
	}
	return true
}

func (c *cluster) quorumLeft(members []*coordpb.Member, without uint64, learners bool) bool {
	voters, left := 0, 0
	for _, m := range members {
		if m.Learner && !learners {
			continue
		}
		voters++
		if m.Id != without && !c.members[m.Id].lost {
			left++
		}
	}
	return voters == 0 || left > voters/2
}

// changeMembers replaces a lost member, or adds or removes one.
func (c *cluster) changeMembers() {
	leader := c.pick(leads)
	if leader == nil {
		return
	}
	members := leader.raft.Status().Members
	for _, m := range members {
		if c.members[m.Id].lost {
			_, _, _ = leader.raft.Remove(c.clock(leader), m.Id)
			c.pump(leader)
			return
		}
	}
	if len(members) < 5 && c.random.Intn(3) > 0 {
		if _, _, err := leader.raft.AddLearner(c.clock(leader), &coordpb.Member{Id: c.nextID + 1}); err == nil {
			c.add(consensus.Bootstrap(nil))
		}
		c.pump(leader)
		return
	}
	if len(members) > 3 && c.noneLost() {
		_, _, _ = leader.raft.Remove(c.clock(leader), members[c.random.Intn(len(members))].Id)
		c.pump(leader)
	}
}

func (c *cluster) noneLost() bool {
	for _, m := range c.members {
		if m.lost {
			return false
		}
	}
	return true
}

func (c *cluster) handOver() {
	m := c.pick(leads)
	if m == nil {
		return
	}
	if to := m.raft.BestSuccessor(); to != 0 {
		_ = m.raft.Transfer(c.clock(m), to)
		c.pump(m)
	}
}

// heal ends all failures and checks that the cluster commits again, and that
// every member that belongs to it ends with the same state.
func (c *cluster) heal() {
	c.cut = map[link]bool{}
	for _, id := range c.ids() {
		m := c.members[id]
		m.frozen = false
		if m.raft == nil && !m.lost && c.broken == "" {
			c.start(m)
			c.pump(m)
		}
	}
	const rounds = 1500
	goal := uint64(0)
	for i := 0; i < rounds && c.broken == ""; i++ {
		c.passTime(2 * time.Millisecond)
		for _, id := range c.ids() {
			c.sync(c.members[id])
		}
		c.deliverAll()
		if leader := c.pick(leads); leader != nil && i > rounds/10 && goal == 0 {
			c.propose()
			goal = leader.raft.Status().Last
		}
		if goal != 0 && c.settled(goal) {
			return
		}
	}
	if c.broken == "" {
		c.fail("the cluster does not commit and agree again after all failures ended (goal %d)", goal)
	}
}

func (c *cluster) deliverAll() {
	for n := len(c.flight); n > 0 && len(c.flight) > 0; n-- {
		m := c.flight[0]
		c.flight = c.flight[1:]
		c.step(m)
	}
}

func (c *cluster) settled(goal uint64) bool {
	leader := c.pick(leads)
	if leader == nil || leader.machine.index < goal {
		return false
	}
	for _, m := range leader.raft.Status().Members {
		if other := c.members[m.Id]; !other.lost && other.machine.index < goal {
			return false
		}
	}
	return true
}
