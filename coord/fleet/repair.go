package fleet

import (
	"time"
)

// Load pattern: a control host is lost, replaced or loses its disk, and soon after another fails.
// Without it: the lost member still counts. With three members, one replaced and one more
// lost, 2 of 4 voters are no majority, although only a tolerated number of hosts is down.
// Rule: remove a silent member if enough others answer, sooner if it was replaced. One
// removed by mistake joins again under a new id: a mistake costs a catch-up, not safety.

// Member is a member of the control group as seen by the leader.
type Member struct {
	ID      uint64
	Address string
	Voter   bool
	Silent  time.Duration // since the leader last received a message from it; 0 for the leader

	FailureDomain string // empty: not known
}

const (
	// replacedSilence is the silence after which a member is removed if a new voter has
	// joined: above an election timeout and the longest stall of a link with packet loss,
	// and well below the time within which a replacement must take effect.
	replacedSilence = 1500 * time.Millisecond
	// removalSilence is the silence after which a member is removed without a replacement:
	// above the duration of every transient restart, network partition or process freeze.
	removalSilence = 20 * time.Second
	// MaxAnsweringSilence is the silence below which a member counts as answering.
	MaxAnsweringSilence = time.Second
)

// MemberToRemove returns a member to remove now and the reason for the log. Tolerated is the
// number of members that may fail at once; a voter is removed only if at least
// 2*tolerated+1 voters answer, or if another member has its address.
func MemberToRemove(members []Member, tolerated int) (id uint64, reason string, ok bool) {
	byAddress := map[string]int{}
	answering := 0
	for _, m := range members {
		byAddress[m.Address]++
		if m.Voter && m.Silent < MaxAnsweringSilence {
			answering++
		}
	}
	for _, m := range members {
		// Of two members with one address, the silent one is from before the disk was lost.
		if byAddress[m.Address] > 1 && m.Silent >= MaxAnsweringSilence {
			return m.ID, "silent, and another member joined from its address: its disk was lost or replaced", true
		}
	}
	minVoters := 2*tolerated + 1
	for _, m := range members {
		switch {
		case m.Voter && m.Silent >= replacedSilence && len(members) > minVoters && answering >= minVoters:
			return m.ID, "silent, and another member has replaced it", true
		case m.Silent >= removalSilence && (answering >= minVoters || !m.Voter):
			return m.ID, "silent for too long", true
		}
	}
	return 0, "", false
}
