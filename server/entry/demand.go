package entry

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"cowsliptiller/server/rpc"
)

const (
	// demandEvery is how often waiting requests are told to control again; the
	// first is told at once.
	demandEvery = 500 * time.Millisecond
	// demandTimeout bounds one report.
	demandTimeout = 2 * time.Second
)

// demand tells control which models requests wait for here. All requests of
// this host for one model are one line of one report, so that a burst of first
// requests costs control one message a host.
type demand struct {
	control rpc.Control
	caller  *rpc.Caller
	now     func() time.Time
	log     hclog.Logger
	wake    chan struct{}

	mu     sync.Mutex
	models map[string]*waiters
}

// waiters are the requests that wait for one model, and what was served of it
// since the last report.
type waiters struct {
	deadlines   []time.Time
	interactive int
	served      int64
}

func newDemand(cfg Config) *demand {
	return &demand{
		control: cfg.Control,
		caller:  cfg.Caller,
		now:     cfg.Now,
		log:     cfg.Log,
		wake:    make(chan struct{}, 1),
		models:  map[string]*waiters{},
	}
}

// add notes a waiting request until the returned function is called.
func (d *demand) add(c *call) (done func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	w := d.of(c.model)
	w.deadlines = append(w.deadlines, c.deadline)
	if c.class.Interactive() {
		w.interactive++
	}
	d.nudge()
	return sync.OnceFunc(func() { d.remove(c) })
}

func (d *demand) remove(c *call) {
	d.mu.Lock()
	defer d.mu.Unlock()
	w := d.of(c.model)
	at := slices.IndexFunc(w.deadlines, c.deadline.Equal)
	w.deadlines = slices.Delete(w.deadlines, at, at+1)
	if c.class.Interactive() {
		w.interactive--
	}
}

// served notes a request that a model answered, which keeps it from being
// unloaded as idle.
func (d *demand) served(model string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.of(model).served++
}

// of returns the entry for a model; the caller holds mu.
func (d *demand) of(model string) *waiters {
	w := d.models[model]
	if w == nil {
		w = &waiters{}
		d.models[model] = w
	}
	return w
}

func (d *demand) nudge() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// run reports until the context ends.
func (d *demand) run(ctx context.Context) {
	ticker := time.NewTicker(demandEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.wake:
		case <-ticker.C:
		}
		d.report(ctx)
	}
}

func (d *demand) report(ctx context.Context) {
	demands := d.collect()
	if len(demands) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, demandTimeout)
	defer cancel()
	_, err := d.control.Demand(ctx, &rpc.DemandRequest{Caller: d.caller, Demands: demands})
	if err != nil {
		d.log.Warn("demand not taken by control", "models", len(demands), "error", err)
	}
}

// collect returns the lines of one report in order of model.
func (d *demand) collect() []*rpc.ModelDemand {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	var demands []*rpc.ModelDemand
	for model, w := range d.models {
		demands = append(demands, w.line(model, now))
		w.served = 0
		if len(w.deadlines) == 0 {
			delete(d.models, model)
		}
	}
	slices.SortFunc(demands, func(a, b *rpc.ModelDemand) int { return strings.Compare(a.Model, b.Model) })
	return demands
}

func (w *waiters) line(model string, now time.Time) *rpc.ModelDemand {
	line := &rpc.ModelDemand{Model: model, Waiting: uint32(len(w.deadlines)), Interactive: w.interactive > 0, Served: w.served}
	if len(w.deadlines) > 0 {
		earliest := slices.MinFunc(w.deadlines, time.Time.Compare)
		line.EarliestDeadlineMs = max(earliest.Sub(now).Milliseconds(), 0)
	}
	return line
}
