package entry

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"cowsliptiller/coord/routing"
	"cowsliptiller/server/rpc"
)

const (
	// demandEvery is how often waiting requests are told to control again; the
	// first is told at once.
	demandEvery = 500 * time.Millisecond
	// demandPause is the least time between two reports. A stream of requests
	// for models that are not loaded would else report without a break.
	demandPause = 50 * time.Millisecond
	// demandTimeout bounds one report; a control process that fell silent is
	// passed over within it.
	demandTimeout = 4 * time.Second
)

// demand tells control which models requests wait for here, and what was served.
// All requests of this host for one model are one line of one report, so that a
// burst of first requests costs control one message a host.
type demand struct {
	control rpc.Control
	caller  *rpc.Caller
	now     func() time.Time
	log     hclog.Logger
	gate    *gate
	wake    chan struct{}

	mu      sync.Mutex
	served  map[string]int64 // by model, since the last report
	seeking map[string]*call // by id: calls for which no target that the view shows will do
}

func newDemand(cfg Config, g *gate) *demand {
	d := &demand{
		control: cfg.Control,
		caller:  cfg.Caller,
		now:     cfg.Now,
		log:     cfg.Log,
		gate:    g,
		wake:    make(chan struct{}, 1),
		served:  map[string]int64{},
		seeking: map[string]*call{},
	}
	g.unserved = d.nudge
	return d
}

// count notes a request that a model answered, which keeps it from being
// unloaded as idle.
func (d *demand) count(model string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.served[model]++
}

// seek notes a call that has its turn and finds no target: the view shows a replica
// whose agent is gone or refuses. Such a call goes round between its place and its
// attempts and is hardly ever found waiting; control, told of nobody, would keep
// counting on that replica and load no other.
func (d *demand) seek(c *call) {
	if c.model == "" {
		return
	}
	d.mu.Lock()
	_, known := d.seeking[c.id]
	d.seeking[c.id] = c
	d.mu.Unlock()
	if !known {
		d.nudge()
	}
}

// found ends what seek began.
func (d *demand) found(c *call) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.seeking, c.id)
}

// nudge makes the next report go out at once.
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
		wait(ctx, demandPause)
	}
}

func (d *demand) report(ctx context.Context) {
	lines := d.lines()
	if len(lines) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, demandTimeout)
	defer cancel()
	response, err := d.control.Demand(ctx, &rpc.DemandRequest{Caller: d.caller, Demands: lines})
	if err != nil {
		d.log.Warn("demand not taken by control", "models", len(lines), "error", err)
		return
	}
	for _, f := range response.Forecasts {
		d.gate.forecast(f.Model, f.Possible, time.Duration(f.ReadyInMs)*time.Millisecond)
	}
}

// lines returns one report in order of model.
func (d *demand) lines() []*rpc.ModelDemand {
	byModel := map[string]*rpc.ModelDemand{}
	now := d.now()
	for _, waiting := range d.gate.demands() {
		if strings.HasPrefix(waiting.Destination, routing.ServiceName("")) {
			continue
		}
		byModel[waiting.Destination] = &rpc.ModelDemand{
			Model:              waiting.Destination,
			Waiting:            uint32(waiting.Waiting),
			EarliestDeadlineMs: max(waiting.Earliest.Sub(now).Milliseconds(), 0),
			Interactive:        waiting.Interactive,
		}
	}
	d.addSeeking(byModel, now)
	d.addServed(byModel)
	lines := make([]*rpc.ModelDemand, 0, len(byModel))
	for _, line := range byModel {
		lines = append(lines, line)
	}
	slices.SortFunc(lines, func(a, b *rpc.ModelDemand) int { return strings.Compare(a.Model, b.Model) })
	return lines
}

func (d *demand) addSeeking(byModel map[string]*rpc.ModelDemand, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range d.seeking {
		left := max(c.deadline.Sub(now).Milliseconds(), 0)
		line := byModel[c.model]
		if line == nil {
			line = &rpc.ModelDemand{Model: c.model, EarliestDeadlineMs: left}
			byModel[c.model] = line
		}
		line.Waiting++
		line.EarliestDeadlineMs = min(line.EarliestDeadlineMs, left)
		line.Interactive = line.Interactive || c.class.Interactive()
	}
}

func (d *demand) addServed(byModel map[string]*rpc.ModelDemand) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for model, served := range d.served {
		if byModel[model] == nil {
			byModel[model] = &rpc.ModelDemand{Model: model}
		}
		byModel[model].Served = served
	}
	clear(d.served)
}
