package state_test

import (
	"bytes"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/fault"
	"cowsliptiller/coord/state"
)

func claim(now int64, key, attempt, request string) *coordpb.Command {
	return &coordpb.Command{NowUnixMs: now, Change: &coordpb.Command_OpenClaim{OpenClaim: &coordpb.OpenClaim{
		Workspace: "w1", IdempotencyKey: key, Attempt: attempt, RequestDigest: []byte(request)}}}
}

func settleClaim(now int64, key, attempt string, how coordpb.ClaimState, body []byte) *coordpb.Command {
	return &coordpb.Command{NowUnixMs: now, Change: &coordpb.Command_SettleClaim{SettleClaim: &coordpb.SettleClaim{
		Workspace: "w1", IdempotencyKey: key, Attempt: attempt, State: how,
		Outcome: &coordpb.CallOutcome{Status: 200, Body: body}}}}
}

const (
	done   = coordpb.ClaimState_CLAIM_STATE_DONE
	notRun = coordpb.ClaimState_CLAIM_STATE_NOT_RUN
	open   = coordpb.ClaimState_CLAIM_STATE_OPEN
)

var _ = Describe("claims", func() {
	// The response to an order is lost and the caller retries through another entry
	// host. If both hosts were granted the claim, the order would be executed twice.
	It("grants one of two attempts, and the same attempt again", func() {
		s := configured()
		first := s.Apply(claim(1, "k", "a1", "order"))
		Expect(kind(first)).To(BeEmpty())
		Expect(first.Claim.Attempt).To(Equal("a1"))
		second := s.Apply(claim(2, "k", "a2", "order"))
		Expect(kind(second)).To(Equal(fault.AlreadyClaimed))
		Expect(second.Claim.State).To(Equal(open))
		Expect(kind(s.Apply(claim(3, "k", "a1", "order")))).To(BeEmpty())
	})

	It("returns the recorded outcome to a retry, and rejects another request under the key", func() {
		s := configured()
		s.Apply(claim(1, "k", "a1", "order"))
		Expect(kind(s.Apply(settleClaim(2, "k", "a1", done, []byte("ok"))))).To(BeEmpty())
		again := s.Apply(claim(3, "k", "a2", "order"))
		Expect(kind(again)).To(BeEmpty())
		Expect(again.Claim.State).To(Equal(done))
		Expect(string(again.Claim.Outcome.Body)).To(Equal("ok"))
		Expect(kind(s.Apply(claim(4, "k", "a3", "other order")))).To(Equal(fault.KeyReused))
	})

	It("releases the key of a call that did not run, but not to a delayed duplicate of its claim", func() {
		s := configured()
		s.Apply(claim(1, "k", "a1", "order"))
		s.Apply(settleClaim(2, "k", "a1", notRun, nil))
		Expect(kind(s.Apply(claim(3, "k", "a1", "order")))).To(Equal(fault.Conflict))
		Expect(kind(s.Apply(claim(4, "k", "a2", "order")))).To(BeEmpty())
	})

	// An entry host settles its claim as not run, and the response is lost when the
	// leader fails. A retry claims the released key on another host. The resent
	// settlement of the first host was rejected as fenced, as if the first had not been
	// recorded, and a delayed duplicate of its claim could claim the key again.
	It("keeps the outcome of an attempt that released the key after another attempt claimed it", func() {
		s := configured()
		s.Apply(claim(1, "k", "a1", "order"))
		s.Apply(settleClaim(2, "k", "a1", notRun, nil))
		s.Apply(claim(3, "k", "a2", "order"))
		Expect(kind(s.Apply(settleClaim(4, "k", "a1", notRun, nil)))).To(BeEmpty())
		Expect(kind(s.Apply(settleClaim(5, "k", "a1", done, nil)))).To(Equal(fault.Fenced))
		Expect(s.Claim("w1", "k").Attempt).To(Equal("a2"))
		Expect(s.Claim("w1", "k").State).To(Equal(open))
		s.Apply(settleClaim(6, "k", "a2", notRun, nil))
		Expect(kind(s.Apply(claim(7, "k", "a1", "order")))).To(Equal(fault.Conflict))
		Expect(kind(s.Apply(claim(8, "k", "a3", "order")))).To(BeEmpty())
	})

	It("keeps a bounded number of attempts that released a key", func() {
		s := configured()
		for i := range state.MaxReleasedAttempts + 5 {
			attempt := fmt.Sprint("a", i)
			s.Apply(claim(int64(2*i+1), "k", attempt, "order"))
			s.Apply(settleClaim(int64(2*i+2), "k", attempt, notRun, nil))
		}
		Expect(s.Claim("w1", "k").Released).To(HaveLen(state.MaxReleasedAttempts))
		Expect(s.Claim("w1", "k").Released).To(ContainElement(fmt.Sprint("a", state.MaxReleasedAttempts+4)))
	})

	// A suspended entry host resumes after its claim was settled or granted to another
	// attempt, and settles it. The outcome already returned to callers would change.
	It("lets only the holder settle, and only once", func() {
		s := configured()
		s.Apply(claim(1, "k", "a1", "order"))
		Expect(kind(s.Apply(settleClaim(2, "k", "a2", notRun, nil)))).To(Equal(fault.Fenced))
		s.Apply(settleClaim(3, "k", "a1", done, []byte("ok")))
		Expect(kind(s.Apply(settleClaim(4, "k", "a1", done, []byte("late"))))).To(BeEmpty())
		Expect(kind(s.Apply(settleClaim(5, "k", "a1", notRun, nil)))).To(Equal(fault.Conflict))
		Expect(string(s.Claim("w1", "k").Outcome.Body)).To(Equal("ok"))
	})

	It("keeps a claim for at least a day and at most a week, whatever expiry is requested", func() {
		s := configured()
		s.Apply(claim(1, "k", "a1", "order"))
		day := state.ClaimRetention.Milliseconds()
		Expect(kind(s.Apply(claim(day, "k", "a2", "order")))).To(Equal(fault.AlreadyClaimed))
		Expect(kind(s.Apply(claim(day+1, "k", "a2", "order")))).To(BeEmpty())
		long := claim(day+1, "l", "a1", "order")
		long.GetOpenClaim().ExpiresUnixMs = 1 << 60
		Expect(s.Apply(long).Claim.ExpiresUnixMs).To(Equal(day + 1 + state.MaxClaimRetention.Milliseconds()))
	})

	// The clock of a new leader is an hour behind. If the state's time decreased, an
	// expired claim would be valid again, and a later claim would expire too early.
	It("never lets the time decrease", func() {
		s := configured()
		later := 2 * state.ClaimRetention.Milliseconds()
		s.Apply(claim(1, "k", "a1", "order"))
		s.Apply(&coordpb.Command{NowUnixMs: later, Change: &coordpb.Command_Expire{Expire: &coordpb.Expire{}}})
		Expect(s.Claim("w1", "k")).To(BeNil())
		r := s.Apply(claim(later-time.Hour.Milliseconds(), "k", "a2", "order"))
		Expect(r.Claim.ExpiresUnixMs).To(Equal(later + state.ClaimRetention.Milliseconds()))
	})

	It("records a long response without its body", func() {
		s := configured()
		s.Apply(claim(1, "k", "a1", "order"))
		s.Apply(settleClaim(2, "k", "a1", done, bytes.Repeat([]byte("x"), state.MaxOutcomeBytes+1)))
		o := s.Claim("w1", "k").Outcome
		Expect(o.Status).To(Equal(uint32(200)))
		Expect(o.BodyKept).To(BeFalse())
	})

	It("rejects a claim beyond the limit instead of dropping one", func() {
		s := configured()
		for i := range state.MaxClaims {
			c := claim(1, fmt.Sprint(i), "a1", "order")
			c.GetOpenClaim().Workspace = fmt.Sprint("w", i%5)
			s.Apply(c)
		}
		more := claim(2, "one more", "a1", "order")
		more.GetOpenClaim().Workspace = "w9"
		Expect(kind(s.Apply(more))).To(Equal(fault.Overloaded))
		Expect(kind(s.Apply(claim(2, "1", "a2", "order")))).To(Equal(fault.AlreadyClaimed))
	})

	// One workspace makes non-repeatable calls in a loop. If its claims filled the table,
	// the calls of all other workspaces would be rejected for a day.
	It("lets no workspace fill the table", func() {
		s := configured()
		for i := range state.MaxClaimsPerWorkspace {
			s.Apply(claim(1, fmt.Sprint(i), "a1", "order"))
		}
		Expect(kind(s.Apply(claim(2, "one more", "a1", "order")))).To(Equal(fault.Overloaded))
		other := claim(2, "k", "a1", "order")
		other.GetOpenClaim().Workspace = "w2"
		Expect(kind(s.Apply(other))).To(BeEmpty())
		s.Apply(settleClaim(3, "0", "a1", notRun, nil))
		s.Apply(&coordpb.Command{NowUnixMs: 3 + state.NotRunRetention.Milliseconds(), Change: &coordpb.Command_Expire{Expire: &coordpb.Expire{}}})
		Expect(kind(s.Apply(claim(4, "one more", "a1", "order")))).To(BeEmpty())
	})
})
