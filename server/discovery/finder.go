package discovery

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"cowsliptiller/server/events"
	"cowsliptiller/server/rpc"
)

const (
	// findInterval is the delay between rounds of querying the seeds while this process
	// does not follow control.
	findInterval = 200 * time.Millisecond
	// notFoundAfter is the time without control after which this is logged. It exceeds the
	// duration of starts and elections.
	notFoundAfter = 2 * time.Second
	// LocateTimeout limits one query of a seed.
	LocateTimeout = 700 * time.Millisecond
)

// FinderConfig configures a Finder. Its functions are called concurrently from several
// goroutines.
type FinderConfig struct {
	Seeds         func() []string // internal addresses in the current settings
	Locate        func(ctx context.Context, seed string) (*rpc.LocateResponse, error)
	Members       func() []string              // of the control group, if a member runs in this process
	Suggest       func(addresses []string)     // receives the addresses that were found
	KnownControl  func() []string              // addresses of the known control processes
	Follows       func() bool                  // whether this process follows control
	OnLocateError func(seed string, err error) // called when a query of a seed fails
	Events        *events.Log
	Registry      prometheus.Registerer // nil: no metrics
	Now           func() time.Time
}

// Finder queries the seeds for the addresses of the control processes.
type Finder struct {
	config         FinderConfig
	failedRounds   prometheus.Counter
	searchingSince time.Time // start of the current search; zero: this process follows control
	notFoundLogged bool      // whether ControlNotFound was logged in this search
}

// NewFinder returns a finder. Call Run to start searching.
func NewFinder(c FinderConfig) *Finder {
	f := &Finder{config: c, searchingSince: c.Now(), failedRounds: prometheus.NewCounter(prometheus.CounterOpts{
		Name: "cowslip_control_search_rounds_failed_total",
		Help: "Rounds of asking all seeds after which no control process was known.",
	})}
	if c.Registry != nil {
		c.Registry.MustRegister(f.failedRounds)
	}
	return f
}

// Run queries the seeds while this process does not follow control, until ctx is done.
func (f *Finder) Run(ctx context.Context) {
	for ctx.Err() == nil {
		f.round(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(findInterval):
		}
	}
}

func (f *Finder) round(ctx context.Context) {
	if f.config.Follows() {
		f.endSearch()
		return
	}
	if f.searchingSince.IsZero() {
		f.searchingSince = f.config.Now()
	}
	f.config.Suggest(f.config.Members())
	seeds := f.config.Seeds()
	answered := f.askSeeds(ctx, seeds)
	if f.config.Follows() || ctx.Err() != nil {
		return
	}
	if len(f.config.KnownControl()) == 0 {
		f.failedRounds.Inc()
	}
	if unknown := f.config.Now().Sub(f.searchingSince); unknown >= notFoundAfter && !f.notFoundLogged {
		f.notFoundLogged = true
		f.config.Events.ControlNotFound(seeds, answered, unknown)
	}
}

func (f *Finder) endSearch() {
	if f.notFoundLogged {
		f.config.Events.ControlFound(f.config.KnownControl(), f.config.Now().Sub(f.searchingSince))
	}
	f.searchingSince, f.notFoundLogged = time.Time{}, false
}

// askSeeds queries all seeds concurrently and handles each response when it arrives, so that
// unresponsive seeds do not delay the others. It returns the number of seeds that answered.
func (f *Finder) askSeeds(ctx context.Context, seeds []string) int {
	var queries sync.WaitGroup
	var answered atomic.Int64
	for _, seed := range seeds {
		queries.Go(func() {
			if f.askSeed(ctx, seed) {
				answered.Add(1)
			}
		})
	}
	queries.Wait()
	return int(answered.Load())
}

func (f *Finder) askSeed(ctx context.Context, seed string) bool {
	resp, err := f.config.Locate(ctx, seed)
	if err != nil {
		f.config.OnLocateError(seed, err)
		return false
	}
	addresses := resp.ControlAddresses
	if resp.Disk {
		addresses = append(addresses, seed)
	}
	f.config.Suggest(addresses)
	return true
}
