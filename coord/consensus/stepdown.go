package consensus

import "time"

// StepDownReason is the reason why a leader stepped down.
type StepDownReason string

// Values of StepDown.Reason.
const (
	NoQuorumContact StepDownReason = "no_quorum_contact" // no heartbeat round was acknowledged by a quorum for an election timeout
	WriteStalled    StepDownReason = "write_stalled"     // a write to this member's disk took too long
	TransferExpired StepDownReason = "transfer_expired"  // the transferee did not take over in time
	HigherTerm      StepDownReason = "higher_term"       // another member started an election or was elected
)

// StepDown describes the latest loss of leadership of a member.
type StepDown struct {
	Term   uint64 // the term in which it led; 0 if it never stepped down
	Reason StepDownReason
	// SinceQuorumContact is the time since the latest heartbeat round acknowledged by a quorum was
	// sent, without the pauses of this member.
	SinceQuorumContact time.Duration
}

// stepDown ends leadership in the current term without a known successor.
func (r *Raft) stepDown(reason StepDownReason) {
	r.recordStepDown(reason)
	r.becomeFollower(r.term, 0)
}

// higherTermReason is HigherTerm, or WriteStalled if that is why this leader asked for the
// election in the higher term.
func (r *Raft) higherTermReason() StepDownReason {
	if r.leaderState.transferee != 0 && r.isWriteStalled() {
		return WriteStalled
	}
	return HigherTerm
}

func (r *Raft) recordStepDown(reason StepDownReason) {
	r.steppedDown = StepDown{Term: r.term, Reason: reason, SinceQuorumContact: r.now - r.leaderState.quorumContact}
}
