package node

import (
	"context"
	"hash/fnv"
	"math/rand"
	"net/http"
	"sync"
	"time"

	"cowsliptiller/coord/consensus"
	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/fault"
	"cowsliptiller/server/process"
	"cowsliptiller/server/rpc"
	"cowsliptiller/server/store"
)

// Node is one member of the control group.
type Node struct {
	config    Config
	store     *store.Store
	guard     *guard
	transport *Transport

	inbox      chan delivery
	proposals  chan *proposal
	calls      chan func()
	writes     chan *consensus.Write
	written    chan *consensus.Write
	identities chan identityJob
	applies    chan consensus.Apply
	applied    chan appliedBatch
	backups    chan chan backup

	ctx      context.Context // ends with stop
	cancel   context.CancelFunc
	stop     <-chan struct{}
	stopOnce sync.Once
	running  sync.WaitGroup // without diskDone's goroutine
	diskDone chan struct{}  // closed when runDisk has ended

	// Owned by the loop.
	raft      *consensus.Raft
	waiters   map[uint64]*proposal // by index
	reads     map[uint64]*barrier
	unapplied []unappliedRead
	nextRead  uint64
	done      uint64 // highest applied index
	compacted uint64 // index of the newest snapshot
	applying  bool
	readsTerm uint64
	// loggedStepDown is the term of the newest loss of leadership that was logged.
	loggedStepDown uint64
	// diskFailure is closed when the disk has failed; nil once the loop has read that.
	diskFailure      <-chan struct{}
	handoverDeadline time.Duration // of the handover after the disk's failure
	passedAt         time.Duration // latest checkpoint of the loop
	longestPause     time.Duration // of the loop since the latest loss of leadership

	mu      sync.Mutex // guards what follows; taken alone
	status  Status
	lease   time.Duration
	actFrom uint64
	leading bool
	changed chan struct{}
	told    map[uint64]string // addresses as callers gave them
}

// Open starts a member on its data folder. It returns once the folder is read;
// a new member of a new group then asks the other first members whether it may
// take part. Errors: fault.InvalidRequest, fault.Conflict (folder in use),
// fault.Internal (damaged folder).
func Open(c Config) (*Node, error) {
	if err := c.fill(); err != nil {
		return nil, err
	}
	s, err := store.Open(c.Folder, store.Options{FS: c.FS, Logger: c.Logger, PrivateDisk: c.PrivateDisk})
	if err != nil {
		return nil, err
	}
	n := newNode(c, s)
	if err := n.begin(); err != nil {
		_ = s.Close()
		return nil, err
	}
	return n, nil
}

func newNode(c Config, s *store.Store) *Node {
	n := &Node{
		config: c, store: s,
		inbox:     make(chan delivery, inboxSize),
		proposals: make(chan *proposal, maxBatch), calls: make(chan func()),
		writes: make(chan *consensus.Write, 1), written: make(chan *consensus.Write, 1),
		identities: make(chan identityJob),
		applies:    make(chan consensus.Apply, 1), applied: make(chan appliedBatch, 1),
		backups: make(chan chan backup),
		waiters: map[uint64]*proposal{}, reads: map[uint64]*barrier{},
		changed: make(chan struct{}), told: map[uint64]string{},
		diskDone: make(chan struct{}), diskFailure: s.Failed(),
	}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.stop = n.ctx.Done()
	if n.config.Now == nil {
		n.config.Now = monotonic
	}
	return n
}

func (n *Node) begin() error {
	id, d, err := n.load()
	if err != nil {
		return err
	}
	n.guard = &guard{id: id, save: n.saveIdentity}
	n.transport = newTransport(n)
	if err := n.restore(d.Snapshot); err != nil {
		return err
	}
	n.raft, err = consensus.New(n.raftConfig(id), d, n.config.Now())
	if err != nil {
		return err
	}
	n.done, n.compacted = d.Snapshot.Meta.Index, d.Snapshot.Meta.Index
	n.passedAt = n.config.Now()
	n.publish()
	n.running.Add(2)
	go n.runDisk()
	go n.runApply()
	go n.run()
	return nil
}

func (n *Node) restore(s *coordpb.Snapshot) error {
	if s.Meta.Index == 0 {
		return nil
	}
	if err := n.config.Machine.Restore(s.Data); err != nil {
		return fault.New(fault.Internal, "the snapshot at %d cannot be restored: %v", s.Meta.Index, err)
	}
	return nil
}

func (n *Node) raftConfig(id store.Identity) consensus.Config {
	random := n.config.Random
	if random == nil {
		h := fnv.New64a()
		_, _ = h.Write([]byte(id.DiskID))
		random = rand.New(rand.NewSource(int64(h.Sum64())))
	}
	return consensus.Config{
		ID: n.config.ID, ElectionTimeout: n.config.electionTimeout(),
		HeartbeatInterval: n.config.Tick, Random: random, LinkBytesPerSecond: process.MinLinkBytesPerSecond,
	}
}

// Handler serves the calls of other control processes; mount it at PathPrefix.
func (n *Node) Handler() (prefix string, h http.Handler) {
	s := rpc.NewPeerServer(peerServer{n})
	return s.PathPrefix(), s
}

// Close hands leadership over if this member leads, then stops it. While the disk does not
// answer it returns an error after a few seconds; see store.Store.Close.
func (n *Node) Close() error {
	n.handOver()
	n.halt()
	n.running.Wait()
	n.awaitDisk()
	return n.store.Close()
}

// halt ends the goroutines and fails whoever waits. It reports whether this was
// the first call.
func (n *Node) halt() (first bool) {
	n.stopOnce.Do(func() {
		first = true
		n.cancel()
		n.transport.close()
	})
	return first
}

// fatal stops the member for good. Nothing is acknowledged after it.
func (n *Node) fatal(err error) {
	if !n.halt() {
		return
	}
	n.config.Logger.Error("the member stops", "member", n.config.ID, "error", err)
	n.config.Fatal(err)
}
