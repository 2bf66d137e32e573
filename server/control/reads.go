package control

import (
	"context"
	"sync"
	"time"

	"cowsliptiller/coord/fault"
	"cowsliptiller/server/rpc"
)

// Shares of the freshness lease; docs/design/freshness.md derives them.
const (
	// barriersPerLease is how often a lease's length holds the interval of
	// barriers. A lease given between two barriers is shorter by up to one
	// interval: an eighth.
	barriersPerLease = 8
	// oldestBarrier is the share of the lease after which a process without a
	// new barrier sends its followers elsewhere, while their leases still hold.
	oldestBarrier = 2
	// holderMargin is the share by which a holder's lease ends before the
	// grantor counts it as ended: clocks whose rates differ by less than one in
	// twenty cannot make the holder the later one. Quartz differs by one in ten
	// thousand; the rest covers a virtual machine's clock being slewed.
	holderMargin = 20
)

// reads notes from when on this process is known to have been up to date.
//
// A control process that a partition cut off from the others goes on answering
// its followers on its side. Without the barrier it would renew their leases with
// a view that no longer holds, for as long as the partition lasts: a withdrawn key
// would work there, and an acknowledged configuration would not be in force.
type reads struct {
	mu sync.Mutex
	at time.Time // start of the newest barrier that succeeded
}

func (r *reads) note(start time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if start.After(r.at) {
		r.at = start
	}
}

func (r *reads) last() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.at
}

// barrier returns once everything committed before the call is applied here. When
// the leader changes meanwhile the next one is asked.
func (c *Role) barrier(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, c.freshness/oldestBarrier)
	defer cancel()
	start := c.now()
	for {
		changed := c.log.LeaderChanged()
		err := c.readIndex(ctx, changed)
		if err == nil {
			c.reads.note(start)
			return nil
		}
		if !elsewhere(err) {
			return err
		}
		select {
		case <-changed:
		case <-c.after(leaderRetry):
		case <-c.background.Done():
			return errClosed(err)
		case <-ctx.Done():
			return fault.New(fault.NoQuorum, "control cannot be read at present: %v", err)
		}
	}
}

func (c *Role) readIndex(ctx context.Context, changed <-chan struct{}) error {
	st := c.log.Status()
	if st.Leader == st.ID && st.ID != 0 {
		return c.log.Barrier(ctx)
	}
	leader, err := c.leader()
	if err != nil {
		return err
	}
	attempt, cancel := untilClosed(ctx, changed)
	defer cancel()
	resp, err := leader.Read(attempt, &rpc.ReadRequest{})
	if err == nil {
		return c.machine.await(ctx, resp.Revision)
	}
	if attempt.Err() != nil && ctx.Err() == nil {
		return fault.New(fault.Unavailable, "the leader changed before it answered")
	}
	return rpc.FromTwirp(err)
}

// Read implements rpc.Control.
func (c *Role) Read(ctx context.Context, _ *rpc.ReadRequest) (*rpc.ReadResponse, error) {
	st := c.log.Status()
	if st.Leader != st.ID {
		return nil, rpc.ToTwirp(fault.New(fault.NotLeader, "member %d does not lead", st.ID))
	}
	if err := c.log.Barrier(ctx); err != nil {
		return nil, rpc.ToTwirp(err)
	}
	revision, _ := c.machine.Revision()
	return &rpc.ReadResponse{Revision: revision}, nil
}

// barrierLoop keeps this process able to grant leases.
func (c *Role) barrierLoop(ctx context.Context) {
	for ctx.Err() == nil {
		if err := c.barrier(ctx); err != nil && ctx.Err() == nil {
			c.logger.Debug("no barrier", "error", err)
		}
		c.sleep(ctx, c.freshness/barriersPerLease)
	}
}

// current reports whether the last barrier is recent enough to answer followers.
func (c *Role) current() error {
	if elapsed(c.reads.last(), c.now()) > c.freshness/oldestBarrier {
		return fault.New(fault.NoQuorum, "this control process is cut off from the others")
	}
	return nil
}

// leaseFor returns the lease to tell the holder, counted from when it sent a poll
// that came here at received, and when the grantor counts it as ended.
//
// The view that goes with it holds everything committed before the last barrier
// began, at b. A command committed at t > b may be missing from it, and must be in
// force at t + freshness: the holder must stop by b + freshness. It counts from
// when it sent the poll, which was before received, so that freshness + b -
// received keeps it inside, whichever of b and received is the earlier.
func (c *Role) leaseFor(received, b time.Time) (tell time.Duration, until time.Time) {
	tell = c.freshness - c.freshness/holderMargin
	if b.After(received) {
		tell += b.Sub(received)
	} else {
		tell -= elapsed(b, received)
	}
	return max(0, tell), b.Add(c.freshness)
}

// elapsed is the time between two moments by the clock that says more. While a
// virtual machine is suspended its monotonic clock may stand still: right after it
// wakes, the newest barrier would look recent and a lease on the view from before
// the suspension would be granted.
func elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}
