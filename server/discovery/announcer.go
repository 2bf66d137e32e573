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
	// announceTimeout bounds one announcement.
	announceTimeout = 700 * time.Millisecond
	// maxInFlight bounds the announcements under way: processes that are down hold each of
	// them for its whole timeout.
	maxInFlight = 64
)

// Audience is whom a control process announces itself to, and with what.
type Audience struct {
	Control   []string // addresses of the group's members; none: this process has nothing to announce
	Answering []string // those of them that are known to answer
	Processes []string // registered ones that do not follow this process
}

// AnnouncerConfig is what an announcer is made of.
type AnnouncerConfig struct {
	Own      string // internal address of this process
	Seeds    func() []string
	Audience func() Audience
	Announce func(ctx context.Context, address string, r *rpc.AnnounceRequest) (*rpc.AnnounceResponse, error)
	Now      func() time.Time
}

// Announcer announces this process's control member to those who may look for it.
type Announcer struct {
	c       AnnouncerConfig
	running sync.WaitGroup

	mu       sync.Mutex // guards what follows; a leaf
	schedule *discovery.Announcer
	inFlight int
}

// NewAnnouncer returns an announcer. Run makes it announce.
func NewAnnouncer(c AnnouncerConfig) *Announcer {
	return &Announcer{c: c, schedule: discovery.NewAnnouncer()}
}

// Run announces until the context ends.
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
	audience := a.c.Audience()
	if len(audience.Control) == 0 {
		a.forget()
		return
	}
	request := &rpc.AnnounceRequest{Address: a.c.Own, ControlAddresses: audience.Control, Answering: audience.Answering}
	for _, address := range a.due(audience) {
		a.running.Go(func() { a.announce(ctx, address, request) })
	}
}

// forget drops all recipients: each is due at once when this process can announce again.
func (a *Announcer) forget() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.schedule.SetAudience(nil, nil, a.c.Now())
}

// due returns the recipients of this round. Members learn their group from the log.
func (a *Announcer) due(audience Audience) []string {
	member := func(address string) bool { return address == a.c.Own || slices.Contains(audience.Control, address) }
	seeds := slices.DeleteFunc(a.c.Seeds(), member)
	processes := slices.DeleteFunc(audience.Processes, member)
	now := a.c.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.schedule.SetAudience(seeds, processes, now)
	due := a.schedule.Due(now, maxInFlight-a.inFlight)
	a.inFlight += len(due)
	return due
}

func (a *Announcer) announce(ctx context.Context, address string, r *rpc.AnnounceRequest) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	resp, err := a.c.Announce(ctx, address, r)
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
	a.schedule.Done(address, outcome, a.c.Now())
}
