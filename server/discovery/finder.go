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
	// findInterval is how often the seeds are asked while control is not known.
	findInterval = 200 * time.Millisecond
	// notFoundAfter is how long control is unknown before a log line says so: starts and
	// elections take less.
	notFoundAfter = 2 * time.Second
	// LocateTimeout bounds one question to a seed.
	LocateTimeout = 700 * time.Millisecond
)

// FinderConfig is what a finder is made of. Its functions are called from several
// goroutines at once.
type FinderConfig struct {
	Seeds    func() []string // internal addresses, as the settings name them now
	Locate   func(ctx context.Context, seed string) (*rpc.LocateResponse, error)
	Members  func() []string          // of the control group, where a member runs in this process
	Suggest  func(addresses []string) // takes what was found
	Known    func() []string          // the control processes that are known
	Follows  func() bool              // this process follows control
	Silent   func(seed string, err error)
	Events   *events.Log
	Registry prometheus.Registerer // nil: no metrics
	Now      func() time.Time
}

// Finder learns from the seeds which control processes there are.
type Finder struct {
	c      FinderConfig
	failed prometheus.Counter
	since  time.Time // control is unknown since then; zero: it is followed
	logged bool      // that control is not found
}

// NewFinder returns a finder. Run makes it search.
func NewFinder(c FinderConfig) *Finder {
	f := &Finder{c: c, since: c.Now(), failed: prometheus.NewCounter(prometheus.CounterOpts{
		Name: "cowslip_control_search_rounds_failed_total",
		Help: "Rounds of asking all seeds after which no control process was known.",
	})}
	if c.Registry != nil {
		c.Registry.MustRegister(f.failed)
	}
	return f
}

// Run asks the seeds while this process does not follow control, until the context ends.
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
	if f.c.Follows() {
		f.found()
		return
	}
	if f.since.IsZero() {
		f.since = f.c.Now()
	}
	f.c.Suggest(f.c.Members())
	seeds := f.c.Seeds()
	answered := f.ask(ctx, seeds)
	if f.c.Follows() || ctx.Err() != nil {
		return
	}
	if len(f.c.Known()) == 0 {
		f.failed.Inc()
	}
	if unknown := f.c.Now().Sub(f.since); unknown >= notFoundAfter && !f.logged {
		f.logged = true
		f.c.Events.ControlNotFound(seeds, answered, unknown)
	}
}

func (f *Finder) found() {
	if f.logged {
		f.c.Events.ControlFound(f.c.Known(), f.c.Now().Sub(f.since))
	}
	f.since, f.logged = time.Time{}, false
}

// ask asks all seeds at once and passes each answer on as it comes: two seeds that are
// silent must not hold up the third. It returns how many answered.
func (f *Finder) ask(ctx context.Context, seeds []string) int {
	var asked sync.WaitGroup
	var answered atomic.Int64
	for _, seed := range seeds {
		asked.Go(func() {
			if f.askOne(ctx, seed) {
				answered.Add(1)
			}
		})
	}
	asked.Wait()
	return int(answered.Load())
}

func (f *Finder) askOne(ctx context.Context, seed string) bool {
	resp, err := f.c.Locate(ctx, seed)
	if err != nil {
		f.c.Silent(seed, err)
		return false
	}
	addresses := resp.ControlAddresses
	if resp.Disk {
		addresses = append(addresses, seed)
	}
	f.c.Suggest(addresses)
	return true
}
