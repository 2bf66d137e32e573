package consensus

import "time"

// StepDownReason says why a leader stopped leading.
type StepDownReason string

// The reasons of StepDown.
const (
	NoQuorumContact StepDownReason = "no_quorum_contact" // no heartbeat round was answered by a majority for an election timeout
	WriteStalled    StepDownReason = "write_stalled"     // the own disk
	TransferExpired StepDownReason = "transfer_expired"  // leadership was handed over and not taken
	HigherTerm      StepDownReason = "higher_term"       // another member stands or leads
)

// StepDown describes the newest loss of leadership of a member.
type StepDown struct {
	Term    uint64 // that it led; 0: it never stopped leading
	Reason  StepDownReason
	Contact time.Duration // since the newest heartbeat round that a majority answered was sent
}

// stepDown ends leadership without another leader.
func (r *Raft) stepDown(reason StepDownReason) {
	r.noteStepDown(reason)
	r.becomeFollower(r.term, 0)
}

func (r *Raft) noteStepDown(reason StepDownReason) {
	r.steppedDown = StepDown{Term: r.term, Reason: reason, Contact: r.now - r.lead.contact}
}
