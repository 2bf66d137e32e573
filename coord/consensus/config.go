package consensus

import (
	"math/rand"
	"time"

	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/fault"
)

// Config is what a member is started with.
type Config struct {
	ID uint64 // never 0, never used again after its disk is lost
	// ElectionTimeout is the least time without a leader's word before a member
	// stands for election; the real one is drawn from [1, 2) of it (paper 5.2).
	// Members of one group use the same value: leases rest on it.
	ElectionTimeout time.Duration
	// HeartbeatInterval is the time between a leader's heartbeats.
	HeartbeatInterval time.Duration
	MaxAppendBytes    int // bytes of entries in one message; one entry may exceed it
	MaxInflight       int // unacknowledged append messages to one member
	MaxInflightBytes  int // of entries in them; one message may exceed it
	ChunkBytes        int // bytes of a snapshot in one message
	// LinkBytesPerSecond is what the narrowest link between members carries.
	LinkBytesPerSecond int
	Random             *rand.Rand
}

// Defaults for the sizes in Config.
const (
	DefaultMaxAppendBytes = 256 << 10
	DefaultMaxInflight    = 32
	// DefaultMaxInflightBytes bounds what a member that has lagged behind takes of the
	// leader's link at once.
	DefaultMaxInflightBytes = 512 << 10
	DefaultChunkBytes       = 256 << 10
	// DefaultLinkBytesPerSecond is a link of 10 Mbit/s.
	DefaultLinkBytesPerSecond = 1 << 20
)

// The leader's lease is leaseNumerator/leaseDenominator of the election timeout,
// counted from the sending of the heartbeat that a quorum has answered. The rest
// is the margin for clocks that run at different rates (thesis 6.4.1).
const (
	leaseNumerator   = 3
	leaseDenominator = 4
)

// Durable is what a member finds in its data folder when it starts.
type Durable struct {
	HardState *coordpb.HardState
	Snapshot  *coordpb.Snapshot // never nil; index 0 with the first members in a new group
	Entries   []*coordpb.Entry  // contiguous; may begin before the snapshot's index
}

// Bootstrap returns the state of a member of a new group. A member that joins a
// running group is started with no members and learns them from the leader.
func Bootstrap(members []*coordpb.Member) Durable {
	meta := &coordpb.SnapshotMeta{Membership: &coordpb.Membership{Members: members}}
	return Durable{HardState: &coordpb.HardState{}, Snapshot: &coordpb.Snapshot{Meta: meta}}
}

func (c *Config) check() error {
	if c.ID == 0 {
		return fault.New(fault.InvalidRequest, "consensus: member id 0 is not allowed")
	}
	if c.HeartbeatInterval <= 0 || c.ElectionTimeout < 2*c.HeartbeatInterval {
		return fault.New(fault.InvalidRequest, "consensus: election timeout %v must be at least twice the heartbeat interval %v", c.ElectionTimeout, c.HeartbeatInterval)
	}
	if c.Random == nil {
		return fault.New(fault.InvalidRequest, "consensus: no random source")
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
