package consensus

import (
	"math/rand"
	"time"

	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/fault"
)

// Config configures a member.
type Config struct {
	ID uint64 // not 0; must not be reused after the member's disk is lost
	// ElectionTimeout is the minimum time without leader contact before a member
	// starts an election; the actual timeout is random in [1, 2) times this value
	// (paper 5.2). All members of a group must use the same value, because leader
	// leases depend on it.
	ElectionTimeout time.Duration
	// HeartbeatInterval is the time between a leader's heartbeats.
	HeartbeatInterval time.Duration
	MaxAppendBytes    int // bytes of entries per append message; a single larger entry is still sent
	MaxInflight       int // unacknowledged append messages per member
	MaxInflightBytes  int // bytes of entries in those messages; the last one may exceed the limit
	ChunkBytes        int // bytes of snapshot data per message
	// LinkBytesPerSecond is the bandwidth of the slowest link between members.
	LinkBytesPerSecond int
	Random             *rand.Rand
}

// Defaults for the sizes in Config.
const (
	DefaultMaxAppendBytes = 256 << 10
	DefaultMaxInflight    = 32
	// DefaultMaxInflightBytes limits how much of the leader's link a lagging member
	// takes at once.
	DefaultMaxInflightBytes = 512 << 10
	DefaultChunkBytes       = 256 << 10
	// DefaultLinkBytesPerSecond corresponds to a link of about 10 Mbit/s.
	DefaultLinkBytesPerSecond = 1 << 20
)

// The leader's lease lasts leaseNumerator/leaseDenominator of the election timeout
// from the time the heartbeat acknowledged by a quorum was sent. The remainder is
// the margin for clock drift between members (thesis 6.4.1).
const (
	leaseNumerator   = 3
	leaseDenominator = 4
)

// PersistentState is the persisted state that a member reads from its data folder at start.
type PersistentState struct {
	HardState *coordpb.HardState
	Snapshot  *coordpb.Snapshot // never nil; in a new group it has index 0 and the initial members
	Entries   []*coordpb.Entry  // contiguous; may start before the snapshot's index
}

// Bootstrap returns the initial state of a member of a new group. A member that
// joins a running group starts with no members and receives the membership from
// the leader.
func Bootstrap(members []*coordpb.Member) PersistentState {
	meta := &coordpb.SnapshotMeta{Membership: &coordpb.Membership{Members: members}}
	return PersistentState{HardState: &coordpb.HardState{}, Snapshot: &coordpb.Snapshot{Meta: meta}}
}

func (c *Config) check() error {
	if c.ID == 0 {
		return fault.New(fault.InvalidRequest, "consensus: member id must not be 0")
	}
	if c.HeartbeatInterval <= 0 || c.ElectionTimeout < 2*c.HeartbeatInterval {
		return fault.New(fault.InvalidRequest, "consensus: election timeout %v must be at least twice the heartbeat interval %v", c.ElectionTimeout, c.HeartbeatInterval)
	}
	if c.Random == nil {
		return fault.New(fault.InvalidRequest, "consensus: Config.Random is not set")
	}
	if c.MaxAppendBytes <= 0 {
		c.MaxAppendBytes = DefaultMaxAppendBytes
	}
	if c.MaxInflight <= 0 {
		c.MaxInflight = DefaultMaxInflight
	}
	if c.MaxInflightBytes <= 0 {
		c.MaxInflightBytes = DefaultMaxInflightBytes
	}
	if c.ChunkBytes <= 0 {
		c.ChunkBytes = DefaultChunkBytes
	}
	if c.LinkBytesPerSecond <= 0 {
		c.LinkBytesPerSecond = DefaultLinkBytesPerSecond
	}
	return nil
}
