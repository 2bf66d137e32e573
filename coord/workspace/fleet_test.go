package workspace_test

import (
	"fmt"
	"time"

	"cowsliptiller/coord/workspace"
)

const ws = "w"

// oracle is a plain token bucket over all charges of the fleet, each counted at the
// time of the charge and less what was refunded later.
type oracle struct {
	limit  workspace.Limit
	events []event
}

type event struct {
	at     time.Time
	tokens int64
	charge workspace.Charge
	host   int
	closed bool
}

// overrun returns the most by which a window is over its allowance, in tokens.
func (o *oracle) overrun() float64 {
	_, worst := o.replay(start)
	return worst
}

// replay returns the level at now and the most by which it was below zero.
func (o *oracle) replay(now time.Time) (level, worst float64) {
	level = float64(o.limit.Burst)
	last := start
	for _, e := range o.events {
		level = min(float64(o.limit.Burst), level+float64(o.limit.Rate)*e.at.Sub(last).Seconds())
		last = e.at
		level -= float64(e.tokens)
		worst = max(worst, -level)
	}
	return min(float64(o.limit.Burst), level+float64(o.limit.Rate)*now.Sub(last).Seconds()), worst
}

// fleet is holders and owners with a network of two slices between them.
type fleet struct {
	now     time.Time
	limits  map[string]workspace.Limit
	holders []*workspace.Holder
	keys    []workspace.HostKey
	all     []workspace.HostKey // every run of a host so far
	rates   []float64           // of each host's clock
	born    []time.Time
	owners  []*workspace.Owner // the last one leads; earlier ones may still be reached
	lease   time.Time
	toOwner []parcel
	toHost  []answer
	oracle  oracle
	serial  int
	// outcomes of calls that waited, for a test that follows them
	outcomes []workspace.Outcome
}

type parcel struct {
	host  int
	key   workspace.HostKey
	owner int
	draw  *workspace.Draw
}

type answer struct {
	host  int
	key   workspace.HostKey
	reply *workspace.Reply
}

func newFleet(hosts int, limit workspace.Limit) *fleet {
	f := &fleet{now: start, limits: map[string]workspace.Limit{ws: limit}, oracle: oracle{limit: limit}}
	f.holders = make([]*workspace.Holder, hosts)
	f.keys = make([]workspace.HostKey, hosts)
	f.rates = make([]float64, hosts)
	f.born = make([]time.Time, hosts)
	for i := range hosts {
		f.rates[i] = 1
		f.startHost(i)
	}
	f.owners = []*workspace.Owner{workspace.NewOwner(1, f.limits, nil, f.now)}
	f.extend()
	return f
}

func (f *fleet) startHost(i int) {
	f.serial++
	f.keys[i] = workspace.HostKey{Host: fmt.Sprintf("host%d", i), Incarnation: fmt.Sprint(f.serial)}
	f.all = append(f.all, f.keys[i])
	f.born[i] = f.now
	f.holders[i] = workspace.NewHolder(f.keys[i], f.now)
	f.holders[i].Configure(f.limits, f.now)
}

// clock returns the time by a host's own clock, which may run fast or slow.
func (f *fleet) clock(i int) time.Time {
	return f.born[i].Add(time.Duration(float64(f.now.Sub(f.born[i])) * f.rates[i]))
}

func (f *fleet) owner() *workspace.Owner { return f.owners[len(f.owners)-1] }

func (f *fleet) extend() {
	f.lease = f.now.Add(time.Second)
	f.owner().Extend(f.lease)
}

// takeOver waits for the end of the lease, as the log's leader does.
func (f *fleet) takeOver() {
	if f.now.Before(f.lease) {
		f.now = f.lease
	}
	f.owners = append(f.owners, workspace.NewOwner(uint64(len(f.owners)+1), f.limits, f.all, f.now))
	f.extend()
}

func (f *fleet) note(i int, c workspace.Charge) {
	f.oracle.events = append(f.oracle.events, event{at: f.now, tokens: c.Tokens, charge: c, host: f.serialOf(i)})
}

func (f *fleet) serialOf(i int) int {
	var n int
	_, _ = fmt.Sscan(f.keys[i].Incarnation, &n)
	return n
}

func (f *fleet) take(i int, outcomes []workspace.Outcome) (charged, refused int) {
	f.outcomes = append(f.outcomes, outcomes...)
	for _, o := range outcomes {
		if o.Err != nil {
			refused++
			continue
		}
		charged++
		f.note(i, o.Charge)
	}
	return charged, refused
}

func (f *fleet) charge(i int, tokens int64) (waits bool, err error) {
	f.serial++
	c, waits, err := f.holders[i].Charge(fmt.Sprint(f.serial), ws, tokens, f.clock(i).Add(time.Hour), f.clock(i))
	if err == nil && !waits {
		f.note(i, c)
	}
	return waits, err
}

func (f *fleet) deliver(p parcel) {
	reply, err := f.owners[p.owner].Draw(p.draw, f.now)
	if err == nil {
		f.toHost = append(f.toHost, answer{p.host, p.key, reply})
	}
}

// exchange has a host draw from the present owner without delay.
func (f *fleet) exchange(i int) (charged, refused int) {
	d := f.holders[i].Poll(f.clock(i))
	if d == nil {
		return 0, 0
	}
	reply, err := f.owner().Draw(d, f.now)
	if err != nil {
		f.holders[i].Failed(d.Sequence, f.clock(i))
		return 0, 0
	}
	return f.take(i, f.holders[i].Reply(reply, f.clock(i)))
}

// tolerance is for the oracle's floating point, in tokens.
const tolerance = 0.001

func (f *fleet) advance(d time.Duration) {
	f.now = f.now.Add(d)
	for i, h := range f.holders {
		f.take(i, h.Tick(f.clock(i)))
	}
}

// chargeHeld charges small requests until one has to wait.
func (f *fleet) chargeHeld(i int) {
	for range 40 {
		waits, err := f.charge(i, max(1, f.oracle.limit.Burst/400))
		if waits || err != nil {
			return
		}
	}
}

func (f *fleet) refund(n int, pick picker) {
	e := &f.oracle.events[n]
	for i, h := range f.holders {
		if e.host == f.serialOf(i) && !e.closed {
			unused := int64(pick(0, int(e.tokens)))
			h.Refund(e.charge, unused)
			e.closed = true
			e.tokens -= unused
		}
	}
}
