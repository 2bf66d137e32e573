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

// Timeouts of the follower. docs/design/freshness.md derives them together with the
// freshness lease: the poll of one unresponsive control host must time out, and the next
// host must be polled, before the lease from the last response expires.
const (
	// pollWait is how long control may hold a poll while nothing changes.
	pollWait = 500 * time.Millisecond
	// answerTimeout is added to pollWait for network latency, control's read barrier
	// and unresponsive connections.
	answerTimeout = 1200 * time.Millisecond
	// minBackoff and maxBackoff limit the delay after a failed poll. minBackoff is
	// short, so that the next address is polled almost immediately after a first failure.
	minBackoff = 10 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
	// startIndexRange is the range of the random start index, which is taken modulo the
	// number of addresses. It exceeds any number of control processes, so that followers
	// spread their first polls over all known addresses.
	startIndexRange = 1 << 10
	// maxBackoffDoublings prevents an overflow of the shift that doubles the delay.
	maxBackoffDoublings = 6
)

// FollowerOptions configures a Follower.
type FollowerOptions struct {
	Caller    *rpc.Caller                          // identifies this process in every poll
	Addresses []string                             // IP:port of control processes; responses add more
	Client    *http.Client                         // for the default Dial
	Dial      func(address string) rpc.Control     // nil: twirp over Client
	Report    func() *rpc.ReplicaReport            // called before every poll by agents; nil for entry hosts
	Now       func() time.Time                     // nil: time.Now; must return a monotonic clock reading
	After     func(time.Duration) <-chan time.Time // nil: time.After
	Random    *rand.Rand                           // nil: randomly seeded; used only by Run
	Log       hclog.Logger                         // nil: no logging
}

// Follower keeps a process's view of the control state up to date by long polls.
//
// It never applies a lower revision, so that a control host that lags behind, or
// responses that arrive out of order, cannot restore a withdrawn key or an old
// configuration. A process starts without a snapshot after a restart, and control
// answers a first poll only after a read barrier, so that the first view is at least as
// new as any that was acknowledged before.
//
// The freshness lease starts when the poll is sent, by the monotonic clock: the time that
// the response takes, or for which this process is paused, counts against the lease. See
// lease for machines that are suspended.
//
// Call Fresh before Current. In the reverse order, a process that is paused between the
// two calls would use an old snapshot under a new lease.
type Follower struct {
	options FollowerOptions
	clients *rpc.Clients[rpc.Control]
	next    int  // index into the addresses; used only by Run
	failed  bool // whether the last poll failed; used only by Run

	mu            sync.Mutex
	current       *Snapshot
	lease         lease
	changed       chan struct{}
	renewed       chan struct{} // closed by the next response that renews the lease
	failingSince  time.Time     // start of the period without a successful poll; zero: the last poll succeeded
	addresses     []string      // those of the settings, then those that control reported
	suggested     suggestions
	preferred     string // polled next; "": the address at index next
	leader        string
	leaderChanged chan struct{} // closed when leader changes
	control       rpc.Control   // client of the control process that answered last
}

// NewFollower returns a follower without a snapshot. Call Run to start polling.
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
		options: o, clients: rpc.NewClients(o.Dial), changed: make(chan struct{}), renewed: make(chan struct{}), leaderChanged: make(chan struct{}), failingSince: o.Now(),
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
	return f.lease.valid(now, now.Round(0))
}

// Changed implements Source.
func (f *Follower) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// Renewed returns a channel that is closed when the lease is next renewed.
func (f *Follower) Renewed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.renewed
}

// Silent returns for how long no poll has succeeded; zero if the last poll succeeded.
func (f *Follower) Silent(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failingSince.IsZero() {
		return 0
	}
	return now.Sub(f.failingSince)
}

// recordFailure sets failingSince, unless an earlier failed poll has set it.
func (f *Follower) recordFailure() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failingSince.IsZero() {
		f.failingSince = f.options.Now()
	}
}

// Led returns the last reported address of the control leader, "" if it is unknown, and a
// channel that is closed when the reported address changes.
func (f *Follower) Led() (address string, changed <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leader, f.leaderChanged
}

// Control returns a client of the control process that answered last; nil before the
// first response. Any control process accepts any call.
func (f *Follower) Control() rpc.Control {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.control
}

// Run polls until ctx is done and returns its error.
func (f *Follower) Run(ctx context.Context) error {
	f.next = f.options.Random.IntN(startIndexRange)
	failures := 0
	for ctx.Err() == nil {
		err := f.Poll(ctx)
		if err == nil {
			failures = 0
			continue
		}
		f.options.Log.Debug("poll of control failed", "error", err)
		f.next++
		f.backOff(ctx, failures)
		failures = min(failures+1, maxBackoffDoublings)
	}
	return ctx.Err()
}

// backOff waits for a random time between half of the backoff delay and all of it, so that
// followers that lost the same control host do not all poll the next one at the same time.
func (f *Follower) backOff(ctx context.Context, failures int) {
	limit := min(minBackoff<<failures, maxBackoff)
	wait := limit/2 + time.Duration(f.options.Random.Int64N(int64(limit/2)+1))
	select {
	case <-ctx.Done():
	case <-f.options.After(wait):
	}
}

// Poll polls one control process once. Run calls it in a loop; it is exported for
// processes that have their own loop.
func (f *Follower) Poll(ctx context.Context) error {
	address, since := f.nextPoll()
	if address == "" {
		return fault.New(fault.Unavailable, "no address of a control process is known")
	}
	client := f.clients.At(address)
	req := &rpc.SyncRequest{Caller: f.options.Caller, Since: since, WaitMs: uint32(f.holdTime().Milliseconds())}
	if f.options.Report != nil {
		req.Report = f.options.Report()
	}
	ctx, cancel := context.WithTimeout(ctx, pollWait+answerTimeout)
	defer cancel()
	sent := f.options.Now()
	resp, err := client.Sync(ctx, req)
	if err == nil {
		err = f.applyResponse(sent, resp)
	}
	f.failed = err != nil
	if err != nil {
		f.recordFailure()
		return rpc.FromTwirp(err)
	}
	f.updateControl(resp, client, address)
	return nil
}

// holdTime returns how long control may hold the next poll. It is 0 after a failed poll:
// part of the lease has passed by then, and a response is needed immediately.
func (f *Follower) holdTime() time.Duration {
	if f.failed {
		return 0
	}
	return pollWait
}

// nextPoll returns the address to poll, "" if none is known, and the revision that is held.
func (f *Follower) nextPoll() (address string, since uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.current != nil {
		since = f.current.Revision
	}
	if address, f.preferred = f.preferred, ""; address != "" {
		return address, since
	}
	addresses := f.allAddresses()
	if len(addresses) == 0 {
		return "", since
	}
	return addresses[f.next%len(addresses)], since
}

// applyResponse applies the view of a response and renews the lease. A response with a
// lower revision does neither: its sender lags behind, and its lease would be for
// outdated state.
func (f *Follower) applyResponse(sent time.Time, resp *rpc.SyncResponse) error {
	v := resp.GetView()
	before := f.Current()
	if v == nil {
		return fault.New(fault.Internal, "response of control contains no view")
	}
	if before != nil && v.Revision < before.Revision {
		return fault.New(fault.Stale, "control process is at revision %d, behind revision %d of this process", v.Revision, before.Revision)
	}
	if before != nil && v.Revision == before.Revision {
		f.publish(before, sent, resp.FreshnessMs)
		return nil
	}
	after, err := applyView(before, v)
	if err != nil {
		return err
	}
	f.publish(after, sent, resp.FreshnessMs)
	return nil
}

// publish sets the snapshot and its lease atomically. It is called only by Run's
// goroutine, so that no newer snapshot can have been published in the meantime.
func (f *Follower) publish(s *Snapshot, sent time.Time, freshnessMs uint32) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lease.extend(sent.Add(time.Duration(freshnessMs) * time.Millisecond))
	f.failingSince = time.Time{}
	close(f.renewed)
	f.renewed = make(chan struct{})
	if s == f.current {
		return
	}
	f.current = s
	close(f.changed)
	f.changed = make(chan struct{})
}

// updateControl records the leader, the client that answered, and the addresses that
// control reported. The addresses of the settings always stay and come first: they find a
// control group that was moved while this process was disconnected.
func (f *Follower) updateControl(resp *rpc.SyncResponse, client rpc.Control, asked string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.leader != resp.LeaderAddress {
		f.leader = resp.LeaderAddress
		close(f.leaderChanged)
		f.leaderChanged = make(chan struct{})
	}
	f.control = client
	known := slices.Clone(f.options.Addresses)
	for _, a := range resp.ControlAddresses {
		if !slices.Contains(known, a) {
			known = append(known, a)
		}
	}
	f.addresses, f.suggested = known, suggestions{}
	f.next = max(0, slices.Index(known, asked))
}
