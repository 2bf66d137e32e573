package node

import (
	"context"
	"time"

	"cowsliptiller/coord/consensus"
	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/fault"
)

// delivery is what one call of another member brought.
type delivery struct {
	from     uint64
	disk     string
	messages []*coordpb.Message
}

// run is the loop: it owns the consensus state.
func (n *Node) run() {
	defer n.running.Done()
	defer n.failAll()
	clock, stopClock := n.clock()
	defer stopClock()
	if !n.form(clock) {
		return
	}
	n.passedAt = n.config.Now()
	for {
		err := n.next(clock)
		if err == nil && n.isDiskHandoverDone() {
			err = n.store.Err()
		}
		if err != nil {
			n.fatal(err)
			return
		}
		select {
		case <-n.stop:
			return
		default:
		}
		n.pump()
	}
}

func (n *Node) clock() (<-chan time.Time, func()) {
	if n.config.Clock != nil {
		return n.config.Clock, func() {}
	}
	t := time.NewTicker(n.config.Tick / clockDivisor)
	return t.C, t.Stop
}

// next takes one event.
func (n *Node) next(clock <-chan time.Time) error {
	select {
	case <-n.stop:
	case <-n.diskFailure:
		n.diskFailure = nil
		n.startDiskHandover()
	case <-clock:
		return n.tick()
	case d := <-n.inbox:
		return n.step(d)
	case p := <-n.proposals:
		n.checkpoint()
		n.propose(p)
	case call := <-n.calls:
		n.checkpoint()
		call()
	case w := <-n.written:
		n.checkpoint()
		n.raft.WriteSynced(n.config.Now(), w)
		n.transport.send(w.Messages)
	case b := <-n.applied:
		n.checkpoint()
		return n.finishApply(b)
	}
	return nil
}

// checkpoint returns the time of the event that is being processed. If the previous checkpoint was
// more than a heartbeat interval ago, although the loop looks at the clock more often, this
// process did not run, and the pause does not count as silence of the other members.
func (n *Node) checkpoint() time.Duration {
	now := n.config.Now()
	if pause := now - n.passedAt; pause > n.config.Tick {
		n.longestPause = max(n.longestPause, pause)
		n.raft.Paused(pause)
	}
	n.passedAt = now
	return now
}

// tick advances the time of the consensus state. What has arrived before it is processed first:
// it may be what a timeout waits for.
func (n *Node) tick() error {
	n.checkpoint()
	for range len(n.inbox) {
		if err := n.step(<-n.inbox); err != nil {
			return err
		}
	}
	n.raft.Tick(n.passedAt)
	return nil
}

func (n *Node) step(d delivery) error {
	now := n.checkpoint()
	n.raft.SetMemberDisk(d.from, d.disk)
	for _, m := range d.messages {
		if err := n.raft.Step(now, m); err != nil {
			return err
		}
	}
	return nil
}

// pump carries out what the consensus state asks for.
func (n *Node) pump() {
	n.transport.send(n.raft.Messages())
	if !n.hasDiskFailed() {
		n.startWrites()
	}
	n.startApply()
	n.takeReads()
	n.publish()
}

func (n *Node) startWrites() {
	for w := n.raft.NextWrite(); w != nil; w = n.raft.NextWrite() {
		if w.Sync {
			n.writes <- w // has room: one write is out at a time
			return
		}
		n.raft.WriteSynced(n.config.Now(), w)
		n.transport.send(w.Messages)
		n.transport.send(n.raft.Messages())
	}
}

func (n *Node) startApply() {
	if n.applying {
		return
	}
	a := n.raft.Committed()
	if a.Snapshot == nil && len(a.Entries) == 0 {
		return
	}
	n.applying = true
	n.applies <- a // has room: one is out at a time
}

// do runs f in the loop and returns its error.
func (n *Node) do(ctx context.Context, f func() error) error {
	result := make(chan error, 1)
	select {
	case n.calls <- func() { result <- f() }:
	case <-ctx.Done():
		return fault.New(fault.NoQuorum, "this member takes no part yet, or is too busy")
	case <-n.stop:
		return errStopping()
	}
	select {
	case err := <-result:
		return err
	case <-n.stop:
		return errStopping()
	}
}

func errStopping() error { return fault.New(fault.Unavailable, "this control process is stopping") }

// publish makes the status visible and tells of a change of leader.
func (n *Node) publish() {
	s := n.raft.Status()
	n.dropReads(s)
	n.logStepDown(s.SteppedDown)
	now := n.checkpoint()
	n.mu.Lock()
	defer n.mu.Unlock()
	before := n.status.Leader
	n.lease, n.actFrom = s.LeaseUntil, s.LeaderReadyIndex
	n.status = Status{
		ID: s.ID, Term: s.Term, Leader: s.Leader, LeaderAddress: addressOf(s.Members, s.Leader),
		Commit: s.Commit, Applied: n.done, Members: s.Members, Matched: s.MatchIndex, Silent: s.SinceContact, Heard: s.Responded,
	}
	leading := n.mayLead(now)
	if before != s.Leader || n.leading != leading {
		n.leading = leading
		close(n.changed)
		n.changed = make(chan struct{})
	}
}

// logStepDown logs once why this member lost its leadership, how much waited to be sent to the
// others, how many deliveries were not read yet, and the longest pause of its loop since the
// previous loss.
func (n *Node) logStepDown(s consensus.StepDown) {
	if s.Term == n.loggedStepDown {
		return
	}
	n.loggedStepDown = s.Term
	n.config.Logger.Warn("leadership_lost", "term", s.Term, "reason", s.Reason,
		"contact_ms_ago", s.SinceQuorumContact.Milliseconds(), "unsent_bytes", n.transport.queued(),
		"unread_deliveries", len(n.inbox), "longest_pause_ms", n.longestPause.Milliseconds())
	n.longestPause = 0
}

// mayLead reports whether this member may act as leader now: its lease runs, and
// it has applied all that earlier leaders committed. The lease is compared with
// the time at the call, so a process that was frozen finds it ended when it wakes.
func (n *Node) mayLead(now time.Duration) bool {
	return n.lease > now && n.status.Applied >= n.actFrom
}

// Status implements Log.
func (n *Node) Status() Status {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := n.status
	// The time is read under the lock, after the lease it is compared with.
	s.Leading = n.mayLead(n.config.Now())
	return s
}

// LeaderChanged implements Log.
func (n *Node) LeaderChanged() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.changed
}

func addressOf(members []*coordpb.Member, id uint64) string {
	for _, m := range members {
		if m.Id == id {
			return m.Address
		}
	}
	return ""
}
