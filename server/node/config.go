package node

import (
	"hash/fnv"
	"math/rand"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/hashicorp/go-hclog"

	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/fault"
)

// Defaults and bounds.
const (
	DefaultTick          = 50 * time.Millisecond
	DefaultSnapshotEvery = 4096
	// DefaultSnapshotBytes bounds the log where entries are few and large. It keeps up to
	// two such intervals, in memory and on disk.
	DefaultSnapshotBytes = 2 << 20
	DefaultCommitTimeout = 5 * time.Second

	// electionTicks is the least election timeout in ticks; the real one is up to
	// twice as long. Ten lost heartbeats in a row are a dead leader, one or two are not.
	electionTicks = 10
	// clockDivisor: the loop looks at the clock this often in a tick, so that a
	// heartbeat is late by a quarter of its interval at most.
	clockDivisor = 4
	// maxPending bounds the commands that wait for a commit.
	maxPending = 8192
	// maxBatch bounds the commands appended in one step of the loop.
	maxBatch  = 512
	inboxSize = 256
)

// Config is what a member is opened with. Zero values take the defaults.
type Config struct {
	ID            uint64
	Members       []*coordpb.Member // first members; not needed when joining
	Join          bool              // join a running group instead of forming one
	Folder        string
	PrivateDisk   bool          // only this process sees the disk; see store.Options
	Tick          time.Duration // heartbeat interval; the same in the whole group
	SnapshotEvery uint64        // entries between snapshots, at most
	SnapshotBytes int           // bytes of entries between snapshots, at most
	CommitTimeout time.Duration // longest wait of Propose and Barrier
	Machine       StateMachine
	// Restore is a backup's data to start a new group from; all first members
	// must be given the same.
	Restore []byte
	// NewClient makes a client for calls to other control processes. It is called
	// again when a connection went silent.
	NewClient func() *http.Client
	Logger    hclog.Logger
	// Fatal is called once when this member must not go on: its disk failed, the
	// group knows another disk under its id, or an invariant is broken. It
	// normally ends the process. The member has stopped answering by then.
	Fatal func(error)

	FS     vfs.FS               // nil: the operating system's files
	Now    func() time.Duration // nil: monotonic time, a suspended host included
	Clock  <-chan time.Time     // nil: a ticker; the loop looks at Now at each value
	Random *rand.Rand           // nil: seeded from the disk id
}

func (c *Config) fill() error {
	if c.ID == 0 || c.Folder == "" || c.Machine == nil || c.NewClient == nil {
		return fault.New(fault.InvalidRequest, "node: ID, Folder, Machine and NewClient are needed")
	}
	if !c.Join && !slices.ContainsFunc(c.Members, func(m *coordpb.Member) bool { return m.Id == c.ID }) {
		return fault.New(fault.InvalidRequest, "node: member %d is not among the first members", c.ID)
	}
	if c.Tick <= 0 {
		c.Tick = DefaultTick
	}
	if c.SnapshotEvery == 0 {
		c.SnapshotEvery = DefaultSnapshotEvery
	}
	if c.SnapshotBytes <= 0 {
		c.SnapshotBytes = DefaultSnapshotBytes
	}
	if c.CommitTimeout <= 0 {
		c.CommitTimeout = DefaultCommitTimeout
	}
	if c.Logger == nil {
		c.Logger = hclog.NewNullLogger()
	}
	if c.Fatal == nil {
		c.Fatal = func(error) {}
	}
	return nil
}

func (c *Config) electionTimeout() time.Duration { return electionTicks * c.Tick }

// groupID names a group by its first members, and by the backup it began from.
func groupID(members []*coordpb.Member, restore []byte) string {
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, func(a, b *coordpb.Member) int { return int(int64(a.Id) - int64(b.Id)) })
	h := fnv.New64a()
	for _, m := range sorted {
		_, _ = h.Write([]byte(strconv.FormatUint(m.Id, 10) + "=" + m.Address + "\n"))
	}
	_, _ = h.Write(restore)
	return strconv.FormatUint(h.Sum64(), 16)
}
