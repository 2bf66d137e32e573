package fleet

import (
	"maps"
	"slices"
)

// Load pattern: a failure domain is lost with all control members in it.
// Without it: the group may shrink to the size that single losses need, such as three members
// with two in one domain, and has no quorum after the loss of that domain.
// Rule: a domain's members count as lost together.

// LargestLoss returns the most voters that are lost together if a number of failure domains is.
// Voters whose domain is not known count as one domain each.
func LargestLoss(members []Member, domains int) int {
	votersIn := map[string]int{}
	unknown := 0
	for _, m := range members {
		switch {
		case !m.Voter:
		case m.FailureDomain == "":
			unknown++
		default:
			votersIn[m.FailureDomain]++
		}
	}
	sizes := slices.AppendSeq(slices.Repeat([]int{1}, unknown), maps.Values(votersIn))
	slices.Sort(sizes)
	slices.Reverse(sizes)
	lost := 0
	for _, size := range sizes[:min(domains, len(sizes))] {
		lost += size
	}
	return lost
}

// KeepsQuorum reports whether the voters that remain after a loss are a majority.
func KeepsQuorum(members []Member, lost int) bool {
	voters := 0
	for _, m := range members {
		if m.Voter {
			voters++
		}
	}
	return voters-lost > voters/2
}
