package fleet_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cowsliptiller/coord/fleet"
)

// votersIn returns voters, one for each name of a failure domain.
func votersIn(domains ...string) []fleet.Member {
	var out []fleet.Member
	for i, d := range domains {
		out = append(out, fleet.Member{ID: uint64(i + 1), Address: fmt.Sprint("h", i), Voter: true, FailureDomain: d})
	}
	return out
}

// Guards against a group that tolerates single losses and has no quorum after the loss of a
// failure domain.
var _ = DescribeTable("the loss of failure domains", func(members []fleet.Member, domains, lost int, kept bool) {
	Expect(fleet.LargestLoss(members, domains)).To(Equal(lost))
	Expect(fleet.KeepsQuorum(members, lost)).To(Equal(kept))
},
	Entry("two members in each of three", votersIn("a", "a", "b", "b", "c", "c"), 1, 2, true),
	Entry("two of three members in one", votersIn("a", "a", "b"), 1, 2, false),
	Entry("two of three domains", votersIn("a", "b", "c"), 2, 2, false),
	Entry("domains that are not known", votersIn("", "", ""), 1, 1, true),
	Entry("no domain may be lost", votersIn("a", "a", "a"), 0, 0, true),
	Entry("learners do not count", append(votersIn("a", "b", "c"), fleet.Member{FailureDomain: "a"}), 1, 1, true),
)

// Guards against removing a silent member where the rest could not bear the loss of a domain.
var _ = It("keeps as many voters as the loss of a failure domain needs", func() {
	members := votersIn("a", "a", "b", "b", "c")
	members = append(members, fleet.Member{ID: 6, Address: "h6", Voter: true, FailureDomain: "c", Silent: 30 * fleet.MaxAnsweringSilence})
	_, _, removes := fleet.MemberToRemove(members, fleet.LargestLoss(members, 1))
	Expect(removes).To(BeTrue(), "five answer, two may be lost together")
	members[0].Silent = 30 * fleet.MaxAnsweringSilence
	_, _, removes = fleet.MemberToRemove(members, fleet.LargestLoss(members, 1))
	Expect(removes).To(BeFalse(), "of four, the loss of a domain could leave two")
})
