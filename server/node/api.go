package node

import (
	"context"
	"time"

	"cowsliptiller/coord/coordpb"
)

// StateMachine is what the replicated log drives. Its methods are called from
// one goroutine, in log order.
type StateMachine interface {
	Apply(c *coordpb.Command) *coordpb.Result
	Snapshot() ([]byte, error)
	Restore(data []byte) error
}

// Log is the replicated log as the control role sees it.
type Log interface {
	// Propose commits a command and returns what Apply returned. Errors:
	// fault.NotLeader when another member leads, fault.NoQuorum when the command
	// could not be committed in time; it may still be committed later.
	Propose(ctx context.Context, c *coordpb.Command) (*coordpb.Result, error)
	// Barrier returns once everything committed before the call is applied here
	// (read index). Errors as Propose.
	Barrier(ctx context.Context) error
	// Status returns the newest known state of this member.
	Status() Status
	// LeaderChanged returns a channel that is closed at the next change of Status().Leader or Leading.
	LeaderChanged() <-chan struct{}
	// AddMember adds a learner, which is promoted to a voter once it has caught up.
	AddMember(ctx context.Context, m *coordpb.Member) error
	// RemoveMember removes a member.
	RemoveMember(ctx context.Context, id uint64) error
	// Deliver takes messages from other members.
	Deliver(messages []*coordpb.Message)
}

// Status is how one member stands.
type Status struct {
	ID            uint64
	Term          uint64
	Leader        uint64 // 0: unknown
	LeaderAddress string
	Leading       bool // this member leads and holds the leader's lease now
	Commit        uint64
	Applied       uint64
	Members       []*coordpb.Member
	Matched       map[uint64]uint64 // leader only
	// Silent is how long the leader has not heard of each other member; leader only.
	Silent map[uint64]time.Duration
	// Heard tells the leader which other members have replied in its term.
	Heard map[uint64]bool
}
