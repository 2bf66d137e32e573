package fleet

import (
	"time"
)

// Load pattern: a host with a disk is taken away for good, comes back with an empty
// disk, or is replaced by another one; and the next one is lost soon after.
//
// Without repair the group keeps counting the lost member: with three members, one
// replaced and one more lost, two of four voters are no majority, although only as
// many hosts are down as may be lost at once.
//
// A member that is removed though it lives finds that out and joins again under a
// new id, so that a wrong guess costs a catch-up and no safety.

// Member is one member of the control group as its leader sees it.
type Member struct {
	ID      uint64
	Address string
	Voter   bool
	Silent  time.Duration // since the leader last heard of it; 0 for the leader itself
}

const (
	// silentBesideNew is how long a member is silent before one that has just
	// joined takes its place: above an election timeout and the longest stall of a
	// link that loses packets, and well below the time in which a replacement must
	// count.
	silentBesideNew = 1500 * time.Millisecond
	// silentAlone is how long a member is silent before it is removed without a
	// replacement: above every restart, cut or freeze that passes by itself.
	silentAlone = 20 * time.Second
	// AnswersWithin is the silence up to which a member counts as answering.
	AnswersWithin = time.Second
)

// Repair returns a member to remove now. Tolerated is how many members may be lost
// at once; the group is never made smaller than that needs.
func Repair(members []Member, tolerated int) (id uint64, reason string, ok bool) {
	byAddress := map[string]int{}
	answering := 0
	for _, m := range members {
		byAddress[m.Address]++
		if m.Voter && m.Silent < AnswersWithin {
			answering++
		}
	}
	for _, m := range members {
		// Two members at one address: the one that is silent lost its disk.
		if byAddress[m.Address] > 1 && m.Silent >= AnswersWithin {
			return m.ID, "its host came back with another disk", true
		}
	}
	least := 2*tolerated + 1
	for _, m := range members {
		switch {
		case m.Voter && m.Silent >= silentBesideNew && len(members) > least && answering >= least:
			return m.ID, "another member has taken its place", true
		case m.Silent >= silentAlone && (answering >= least || !m.Voter):
			return m.ID, "it is silent", true
		}
	}
	return 0, "", false
}
