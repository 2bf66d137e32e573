package entry

import (
	"context"
	"sync"
	"time"

	"cowsliptiller/coord/fault"
	"cowsliptiller/coord/request"
	"cowsliptiller/coord/routing"
	"cowsliptiller/server/view"
)

// expireEvery is how often waiting requests are compared with their deadlines.
// A refusal is late by at most that, which is small against any deadline.
const expireEvery = 20 * time.Millisecond

// gate lets requests go to targets in the order of request.Admission. A request
// waits here, in its own goroutine, until it is its turn, it cannot be met any
// more, or its key is withdrawn.
type gate struct {
	now      func() time.Time
	unserved func() // told when a request begins to wait that no target serves; must not block

	mu        sync.Mutex
	admission *request.Admission
	turns     map[string]chan error // of the waiting requests
	view      routing.View          // what serves what
	revision  uint64                // of the view
	forecasts map[string]bool       // destinations with a forecast that holds requests back
	withdrawn map[string]bool       // keys whose requests were refused
}

func newGate(cfg Config) *gate {
	bounds := request.Bounds{Calls: cfg.Settings.MaxRequests, Bytes: min(maxHeldBytes, cfg.Bodies.Capacity())}
	return &gate{
		now:       cfg.Now,
		unserved:  func() {},
		admission: request.NewAdmission(bounds),
		turns:     map[string]chan error{},
		forecasts: map[string]bool{},
		withdrawn: map[string]bool{},
	}
}

// enter returns nil when it is the call's turn. The call then holds a place,
// which done gives back. Errors: those of request.Admission, all not run.
func (g *gate) enter(ctx context.Context, c *call) error {
	g.mu.Lock()
	if c.service != "" && !serving(g.view, destinationOf(c)) {
		g.mu.Unlock()
		return noServiceTarget()
	}
	g.lift(destinationOf(c))
	err := g.admission.Enqueue(pendingOf(c), g.now())
	if err != nil {
		g.mu.Unlock()
		return err
	}
	turn := g.wait(c)
	g.mu.Unlock()
	return g.await(ctx, c, turn)
}

// again gives the call's place back and waits for another turn. When it fails,
// the place is gone.
func (g *gate) again(ctx context.Context, c *call) error {
	g.mu.Lock()
	if err := g.admission.Requeue(c.id, g.now()); err != nil {
		g.pump(destinationOf(c))
		g.mu.Unlock()
		return err
	}
	turn := g.wait(c)
	g.mu.Unlock()
	return g.await(ctx, c, turn)
}

// wait makes the call's turn known; the caller holds mu.
func (g *gate) wait(c *call) chan error {
	turn := make(chan error, 1)
	g.turns[c.id] = turn
	g.pump(destinationOf(c))
	if !serving(g.view, destinationOf(c)) {
		c.cold = true
		g.unserved()
	}
	return turn
}

// lift ends a forecast that the view has overtaken; the caller holds mu.
func (g *gate) lift(destination string) {
	if !g.forecasts[destination] || !serving(g.view, destination) {
		return
	}
	delete(g.forecasts, destination)
	now := g.now()
	g.refuse(g.admission.SetForecast(destination, true, now, now))
}

func (g *gate) await(ctx context.Context, c *call, turn chan error) error {
	select {
	case err := <-turn:
		return err
	case <-ctx.Done():
		g.cancel(c)
		return notHandedOver(ctx)
	}
}

// cancel takes out a call that nobody waits for, or gives back the place that
// it was just given.
func (g *gate) cancel(c *call) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.turns, c.id)
	if !g.admission.Cancel(c.id) {
		g.admission.Done(c.id, 0, 0, g.now())
	}
	g.pump(destinationOf(c))
}

// done gives a place back. Tokens and took are zero where the call did not succeed.
func (g *gate) done(c *call, tokens int64, took time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.admission.Done(c.id, tokens, took, g.now())
	g.pump(destinationOf(c))
}

// overload notes that a target refused for overload.
func (g *gate) overload(c *call) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.admission.ReportOverload(c.id, g.now())
}

// pump starts what may start at a destination; the caller holds mu.
func (g *gate) pump(destination string) {
	if !serving(g.view, destination) {
		return
	}
	for {
		next, ok := g.admission.Next(destination, g.now())
		if !ok {
			return
		}
		g.tell(next.ID, nil)
	}
}

// tell gives a waiting request its turn or its refusal; the caller holds mu.
func (g *gate) tell(id string, err error) {
	turn, ok := g.turns[id]
	if !ok {
		return
	}
	delete(g.turns, id)
	turn <- err
}

func (g *gate) refuse(refusals []request.Refusal) {
	for _, r := range refusals {
		g.tell(r.ID, r.Err)
	}
}

// follow takes a view: requests of withdrawn keys are refused, and those whose
// model has come go on.
func (g *gate) follow(snapshot *view.Snapshot) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if snapshot.Revision <= g.revision {
		return
	}
	g.revision = snapshot.Revision
	g.view = routingView(snapshot)
	for _, key := range snapshot.Keys {
		if key.Withdrawn && !g.withdrawn[key.KeyId] {
			g.withdrawn[key.KeyId] = true
			g.refuse(g.admission.RevokeKey(key.KeyId))
		}
	}
	for _, d := range g.admission.Demands() {
		g.lift(d.Destination)
		g.pump(d.Destination)
	}
}

// forecast takes what control says of a model that is not loaded.
func (g *gate) forecast(model string, possible bool, in time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if serving(g.view, model) {
		return
	}
	now := g.now()
	g.refuse(g.admission.SetForecast(model, possible, now.Add(in), now))
	if possible {
		g.forecasts[model] = true
		return
	}
	// Those that wait are refused; the next one asks control anew, since no
	// request would else ever tell that the model is wanted.
	g.refuse(g.admission.SetForecast(model, true, now, now))
}

// heldBytes returns the bytes of the request bodies held now.
func (g *gate) heldBytes() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, bytes := g.admission.Usage()
	return bytes
}

// demands returns what waits, by destination in order of name.
func (g *gate) demands() []request.Demand {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.admission.Demands()
}

// run refuses what cannot be met any more, until the context ends.
func (g *gate) run(ctx context.Context) {
	ticker := time.NewTicker(expireEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		g.expire()
	}
}

func (g *gate) expire() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refuse(g.admission.Expire(g.now()))
}

func pendingOf(c *call) request.Pending {
	return request.Pending{
		ID:          c.id,
		Workspace:   c.workspace.Name,
		KeyID:       c.keyID,
		Destination: destinationOf(c),
		Class:       request.NewClass(c.class),
		Weight:      c.workspace.Rate,
		Tokens:      c.tokens,
		Bytes:       int64(len(c.body)),
		Arrived:     c.begun,
		Deadline:    c.deadline,
	}
}

// errKeyWithdrawn is what a waiting request of a withdrawn key is told.
func errKeyWithdrawn() error {
	return fault.New(fault.Unauthenticated, "the key was withdrawn")
}
