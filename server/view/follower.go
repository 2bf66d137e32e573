package view

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"cowsliptiller/coord/fault"
	"cowsliptiller/server/rpc"
)

// Times of the follower. docs/design/freshness.md derives them together with the
// freshness lease: one silent control host must be given up, and the next one
// asked, before the lease from the last answer ends.
const (
	// pollWait is how long control may hold a poll when nothing changed.
	pollWait = 500 * time.Millisecond
	// answerTime is allowed on top for the way, for control's own barrier, and
	// for a connection that went silent.
	answerTime = 1200 * time.Millisecond
	// leastBackoff and mostBackoff bound the wait after a failed poll. The first
	// failure goes to the next address almost at once.
	leastBackoff = 10 * time.Millisecond
	mostBackoff  = 500 * time.Millisecond
	// spreadOver is above any number of control processes: each follower begins with
	// another one of those that it knows then.
	spreadOver = 1 << 10
	// backoffDoublings keeps the shift from overflowing.
	backoffDoublings = 6
)

// FollowerOptions are a follower's fixed parts.
type FollowerOptions struct {
	Caller    *rpc.Caller                          // who follows; told with every poll
	Addresses []string                             // IP:port of control processes; more are learned from answers
	Client    *http.Client                         // for the default Dial
	Dial      func(address string) rpc.Control     // nil: twirp over Client
	Report    func() *rpc.ReplicaReport            // agents: read before every poll; nil for entry hosts
	Now       func() time.Time                     // nil: time.Now; must carry a monotonic reading
	After     func(time.Duration) <-chan time.Time // nil: time.After
	Random    *rand.Rand                           // nil: seeded by the runtime; used by Run alone
	Log       hclog.Logger                         // nil: no log
}

// Follower keeps a process's view of the control state by long polls.
//
// It never applies a lower revision, so that a control host that fell behind, or
// answers that cross, cannot bring back a withdrawn key or an old configuration.
// A process that restarts holds nothing, and control answers a first poll only
// behind a barrier; the first view is then at least as new as any that was
// acknowledged before.
//
// The freshness lease counts from the moment at which the poll was sent, by the
// monotonic clock: the time that the answer was under way, or that this process
// stood still, uses the lease up. See lease for a machine that stood still.
//
// Call Fresh before Current. The other way round a process that is stopped
// between the two calls would hold an old snapshot and ask about a new lease.
type Follower struct {
	o       FollowerOptions
	clients *rpc.Clients[rpc.Control]
	next    int  // index into the addresses; used by Run alone
	failed  bool // the last poll; used by Run alone

	mu        sync.Mutex
	current   *Snapshot
	lease     lease
	changed   chan struct{}
	renewed   chan struct{} // closed at the next answer that extends the lease
	silent    time.Time     // since when polls fail; zero: the last one was answered
	addresses []string      // those of the settings, then those that control told
	suggested suggestions
	preferred string // asked next; "": in turn
	leader    string
	ledAnew   chan struct{} // closed when leader changes
	control   rpc.Control   // that answered last
}

// NewFollower returns a follower that holds nothing yet. Run makes it follow.
func NewFollower(o FollowerOptions) *Follower {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.After == nil {
		o.After = time.After
	}
	if o.Random == nil {
		o.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if o.Log == nil {
		o.Log = hclog.NewNullLogger()
	}
	if o.Dial == nil {
		client := o.Client
		o.Dial = func(address string) rpc.Control { return rpc.NewControlProtobufClient("http://"+address, client) }
	}
	return &Follower{
		o: o, clients: rpc.NewClients(o.Dial), changed: make(chan struct{}), renewed: make(chan struct{}), ledAnew: make(chan struct{}), silent: o.Now(),
		addresses: slices.Clone(o.Addresses), suggested: suggestions{},
	}
}

// Current implements Source.
func (f *Follower) Current() *Snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current
}

// Fresh implements Source.
func (f *Follower) Fresh(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lease.holds(now, now.Round(0))
}

// Changed implements Source.
func (f *Follower) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// Renewed returns a channel that is closed when the lease is extended next.
func (f *Follower) Renewed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.renewed
}

// Silent returns for how long no poll has been answered; zero while polls are answered.
func (f *Follower) Silent(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.silent.IsZero() {
		return 0
	}
	return now.Sub(f.silent)
}

// noteFailed begins the silence, unless an earlier poll did.
func (f *Follower) noteFailed() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.silent.IsZero() {
		f.silent = f.o.Now()
	}
}

// Led returns the address of the control process that leads, as last told, "" when it is
// not known, and a channel that is closed when another one is told.
func (f *Follower) Led() (address string, changed <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leader, f.ledAnew
}

// Control returns a client of the control process that answered last; nil before
// the first answer. Any control process takes any call.
func (f *Follower) Control() rpc.Control {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.control
}

// Run polls until the context ends. It returns the context's error.
func (f *Follower) Run(ctx context.Context) error {
	f.next = f.o.Random.IntN(spreadOver)
	failures := 0
	for ctx.Err() == nil {
		err := f.Poll(ctx)
		if err == nil {
			failures = 0
			continue
		}
		f.o.Log.Debug("poll of control failed", "error", err)
		f.next++
		f.pause(ctx, failures)
		failures = min(failures+1, backoffDoublings)
	}
	return ctx.Err()
}

// pause waits between half and the whole of the backoff, so that followers that
// lost the same control host do not come to the next one together.
func (f *Follower) pause(ctx context.Context, failures int) {
	limit := min(leastBackoff<<failures, mostBackoff)
	wait := limit/2 + time.Duration(f.o.Random.Int64N(int64(limit/2)+1))
	select {
	case <-ctx.Done():
	case <-f.o.After(wait):
	}
}

// Poll asks one control process once. Run calls it in a loop; it is exported for
// processes that bring their own loop.
func (f *Follower) Poll(ctx context.Context) error {
	address, since := f.target()
	if address == "" {
		return fault.New(fault.Unavailable, "no control address is known")
	}
	client := f.clients.At(address)
	req := &rpc.SyncRequest{Caller: f.o.Caller, Since: since, WaitMs: uint32(f.wait().Milliseconds())}
	if f.o.Report != nil {
		req.Report = f.o.Report()
	}
	ctx, cancel := context.WithTimeout(ctx, pollWait+answerTime)
	defer cancel()
	sent := f.o.Now()
	resp, err := client.Sync(ctx, req)
	if err == nil {
		err = f.receive(sent, resp)
	}
	f.failed = err != nil
	if err != nil {
		f.noteFailed()
		return rpc.FromTwirp(err)
	}
	f.learn(resp, client, address)
	return nil
}

// wait is how long control may hold the next poll. After a failed one the lease is
// short already, and control answers at once.
func (f *Follower) wait() time.Duration {
	if f.failed {
		return 0
	}
	return pollWait
}

func (f *Follower) target() (address string, since uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.current != nil {
		since = f.current.Revision
	}
	if address, f.preferred = f.preferred, ""; address != "" {
		return address, since
	}
	addresses := f.known()
	if len(addresses) == 0 {
		return "", since
	}
	return addresses[f.next%len(addresses)], since
}

// receive takes an answer over. One with a lower revision changes nothing and
// renews nothing: its sender is behind, and so would the lease be.
func (f *Follower) receive(sent time.Time, resp *rpc.SyncResponse) error {
	v := resp.GetView()
	before := f.Current()
	if v == nil {
		return fault.New(fault.Internal, "an answer without a view came")
	}
	if before != nil && v.Revision < before.Revision {
		return fault.New(fault.Stale, "control is at revision %d, this process at %d", v.Revision, before.Revision)
	}
	if before != nil && v.Revision == before.Revision {
		f.renew(before, sent, resp.FreshnessMs)
		return nil
	}
	after, err := build(before, v)
	if err != nil {
		return err
	}
	f.renew(after, sent, resp.FreshnessMs)
	return nil
}

// renew publishes a snapshot and its lease in one step. Only Run's goroutine
// calls it, so that nothing newer can have been published meanwhile.
func (f *Follower) renew(s *Snapshot, sent time.Time, freshnessMs uint32) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lease.extend(sent.Add(time.Duration(freshnessMs) * time.Millisecond))
	f.silent = time.Time{}
	close(f.renewed)
	f.renewed = make(chan struct{})
	if s == f.current {
		return
	}
	f.current = s
	close(f.changed)
	f.changed = make(chan struct{})
}

// learn keeps the addresses that control tells, after those of the settings, which
// stay for good: a group that moved while this process was cut off is found by them.
func (f *Follower) learn(resp *rpc.SyncResponse, client rpc.Control, asked string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.leader != resp.LeaderAddress {
		f.leader = resp.LeaderAddress
		close(f.ledAnew)
		f.ledAnew = make(chan struct{})
	}
	f.control = client
	known := slices.Clone(f.o.Addresses)
	for _, a := range resp.ControlAddresses {
		if !slices.Contains(known, a) {
			known = append(known, a)
		}
	}
	f.addresses, f.suggested = known, suggestions{}
	f.next = max(0, slices.Index(known, asked))
}
