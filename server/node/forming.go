package node

import (
	"time"

	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/fault"
)

// form makes sure that a member of a new group may take part under its id.
//
// An empty folder looks the same at the first start and after a lost disk. So a
// member on an empty folder asks every other first member, and takes part once
// all have accepted its disk. Whoever has taken part has recorded the disks of
// all the others before; hence a single member that is left refuses a replaced
// disk, and while none answers nothing is formed. The price: the first start of
// a group needs all its first members up once. It returns false at a stop.
func (n *Node) form(clock <-chan time.Time) bool {
	if n.guard.identity().Formed {
		return true
	}
	accepted := make(chan uint64, len(n.config.Members))
	for _, m := range n.config.Members {
		if m.Id != n.config.ID {
			n.running.Add(1)
			go n.askToForm(m, accepted)
		}
	}
	missing := map[uint64]bool{}
	for _, m := range n.config.Members {
		missing[m.Id] = m.Id != n.config.ID
	}
	for left := len(n.config.Members) - 1; left > 0; {
		select {
		case <-n.stop:
			return false
		case <-n.store.Failed():
			n.fatal(n.store.Err())
			return false
		case <-clock:
		case call := <-n.calls:
			call()
		case p := <-n.proposals:
			p.reply <- outcome{err: fault.New(fault.NotLeader, "the group is not formed yet")}
		case id := <-accepted:
			if missing[id] {
				missing[id] = false
				left--
			}
		}
	}
	if err := n.guard.setFormed(); err != nil {
		return false
	}
	n.config.Logger.Info("every first member accepted this one", "member", n.config.ID)
	n.raft.Tick(n.config.Now())
	return true
}

// askToForm asks one member until it accepts.
func (n *Node) askToForm(m *coordpb.Member, accepted chan<- uint64) {
	defer n.running.Done()
	l := newLane(m.Id, n)
	defer l.disconnect()
	retry := time.NewTicker(n.config.Tick * clockDivisor)
	defer retry.Stop()
	for {
		if _, err := l.deliver(nil, true); err == nil {
			accepted <- m.Id
			return
		}
		select {
		case <-n.stop:
			return
		case <-retry.C:
		}
	}
}
