package discovery

import (
	"context"
	"slices"
	"sync"
	"time"

	"cowsliptiller/coord/discovery"
	"cowsliptiller/server/rpc"
)

const (
	announceInterval = 100 * time.Millisecond
	// announceTimeout limits one announcement.
	announceTimeout = 700 * time.Millisecond
	// maxInFlight limits the concurrent announcements: one to a process that is down
	// lasts for the whole timeout.
	maxInFlight = 64
)

// Recipients holds the addresses that an announcement contains and those it is sent to.
type Recipients struct {
	Control   []string // addresses of the control group's members; empty: this process announces nothing
	Answering []string // the subset of Control that is known to answer
	Processes []string // registered processes that do not follow this process
}

// AnnouncerConfig configures an Announcer.
type AnnouncerConfig struct {
	OwnAddress string // internal address of this process
	Seeds      func() []string
	Recipients func() Recipients
	Announce   func(ctx context.Context, address string, r *rpc.AnnounceRequest) (*rpc.AnnounceResponse, error)
	Now        func() time.Time
}

// Announcer announces this process's control member to processes that may search for it.
type Announcer struct {
	config  AnnouncerConfig
	running sync.WaitGroup

	mu       sync.Mutex // guards the fields below; no other lock is acquired while it is held
	schedule *discovery.Announcer
	inFlight int
}

// NewAnnouncer returns an announcer. Call Run to start announcing.
func NewAnnouncer(c AnnouncerConfig) *Announcer {
	return &Announcer{config: c, schedule: discovery.NewAnnouncer()}
}

// Run sends announcements until ctx is done. It returns once those in flight have ended.
func (a *Announcer) Run(ctx context.Context) {
	defer a.running.Wait()
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		a.round(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (a *Announcer) round(ctx context.Context) {
	audience := a.config.Recipients()
	if len(audience.Control) == 0 {
		a.clearRecipients()
		return
	}
	request := &rpc.AnnounceRequest{Address: a.config.OwnAddress, ControlAddresses: audience.Control, Answering: audience.Answering}
	for _, address := range a.due(audience) {
		a.running.Go(func() { a.announce(ctx, address, request) })
	}
}

// clearRecipients removes all recipients, so that each is due immediately when this process
// can announce again.
func (a *Announcer) clearRecipients() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.schedule.SetRecipients(nil, nil, a.config.Now())
}

// due returns the recipients of this round. It excludes the members of the control group,
// which learn the group's members from the replicated log.
func (a *Announcer) due(audience Recipients) []string {
	member := func(addr string) bool { return addr == a.config.OwnAddress || slices.Contains(audience.Control, addr) }
	seeds := slices.DeleteFunc(a.config.Seeds(), member)
	processes := slices.DeleteFunc(audience.Processes, member)
	now := a.config.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.schedule.SetRecipients(seeds, processes, now)
	due := a.schedule.Due(now, maxInFlight-a.inFlight)
	a.inFlight += len(due)
	return due
}

func (a *Announcer) announce(ctx context.Context, address string, r *rpc.AnnounceRequest) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	resp, err := a.config.Announce(ctx, address, r)
	outcome := discovery.Unreachable
	switch {
	case err != nil:
	case resp.Follows:
		outcome = discovery.Following
	default:
		outcome = discovery.Searching
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.inFlight--
	a.schedule.Done(address, outcome, a.config.Now())
}
