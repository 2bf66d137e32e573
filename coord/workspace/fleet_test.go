package workspace_test

import (
	"fmt"
	"time"

	"cowsliptiller/coord/workspace"
)

const ws = "w"

// oracle is a reference token bucket over all charges of the fleet. A charge counts at its
// own time, less what was refunded later.
type oracle struct {
	limit   workspace.Limit
	charges []chargeRecord
}

type chargeRecord struct {
	at       time.Time
	tokens   int64
	charge   workspace.Charge
	host     int
	refunded bool
}

// overrun returns the most tokens by which the charges of any window exceed the limit.
func (o *oracle) overrun() float64 {
	_, worst := o.replay(start)
	return worst
}

// replay returns the bucket level at now and the most by which it was below zero.
func (o *oracle) replay(now time.Time) (level, worst float64) {
	level = float64(o.limit.Burst)
	last := start
	for _, e := range o.charges {
		level = min(float64(o.limit.Burst), level+float64(o.limit.Rate)*e.at.Sub(last).Seconds())
		last = e.at
		level -= float64(e.tokens)
		worst = max(worst, -level)
	}
	return min(float64(o.limit.Burst), level+float64(o.limit.Rate)*now.Sub(last).Seconds()), worst
}

// fleet simulates holders and owners. The slices toOwner and toHost are the network.
type fleet struct {
	now          time.Time
	limits       map[string]workspace.Limit
	holders      []*workspace.Holder
	keys         []workspace.HostKey
	incarnations []workspace.HostKey // all incarnations of all hosts, unless a test drops the old ones
	clockRates   []float64           // of each host's clock relative to now
	started      []time.Time
	owners       []*workspace.Owner // the last one leads; earlier ones can still receive messages
	lease        time.Time
	toOwner      []pendingDraw
	toHost       []pendingReply
	oracle       oracle
	serial       int
	// outcomes of the queued calls, for tests that check them
	outcomes []workspace.Outcome
}

type pendingDraw struct {
	host  int
	key   workspace.HostKey
	owner int
	draw  *workspace.Draw
}

type pendingReply struct {
	host  int
	key   workspace.HostKey
	reply *workspace.Reply
}

func newFleet(hosts int, limit workspace.Limit) *fleet {
	f := &fleet{now: start, limits: map[string]workspace.Limit{ws: limit}, oracle: oracle{limit: limit}}
	f.holders = make([]*workspace.Holder, hosts)
	f.keys = make([]workspace.HostKey, hosts)
	f.clockRates = make([]float64, hosts)
	f.started = make([]time.Time, hosts)
	for i := range hosts {
		f.clockRates[i] = 1
		f.startHost(i)
	}
	f.owners = []*workspace.Owner{workspace.NewOwner(1, f.limits, nil, f.now)}
	f.extend()
	return f
}

func (f *fleet) startHost(i int) {
	f.serial++
	f.keys[i] = workspace.HostKey{Host: fmt.Sprintf("host%d", i), Incarnation: fmt.Sprint(f.serial)}
	f.incarnations = append(f.incarnations, f.keys[i])
	f.started[i] = f.now
	f.holders[i] = workspace.NewHolder(f.keys[i], f.now)
	f.holders[i].Configure(f.limits, f.now)
}

// clock returns the time on a host's own clock, which may run fast or slow.
func (f *fleet) clock(i int) time.Time {
	return f.started[i].Add(time.Duration(float64(f.now.Sub(f.started[i])) * f.clockRates[i]))
}

func (f *fleet) owner() *workspace.Owner { return f.owners[len(f.owners)-1] }

func (f *fleet) extend() {
	f.lease = f.now.Add(time.Second)
	f.owner().ExtendLease(f.lease)
}

// takeOver adds a new owner after the end of the lease, as a new control leader does.
func (f *fleet) takeOver() {
	if f.now.Before(f.lease) {
		f.now = f.lease
	}
	f.owners = append(f.owners, workspace.NewOwner(uint64(len(f.owners)+1), f.limits, f.incarnations, f.now))
	f.extend()
}

func (f *fleet) recordCharge(i int, c workspace.Charge) {
	f.oracle.charges = append(f.oracle.charges, chargeRecord{at: f.now, tokens: c.Tokens, charge: c, host: f.serialOf(i)})
}

func (f *fleet) serialOf(i int) int {
	var n int
	_, _ = fmt.Sscan(f.keys[i].Incarnation, &n)
	return n
}

func (f *fleet) handleOutcomes(i int, outcomes []workspace.Outcome) (charged, refused int) {
	f.outcomes = append(f.outcomes, outcomes...)
	for _, o := range outcomes {
		if o.Err != nil {
			refused++
			continue
		}
		charged++
		f.recordCharge(i, o.Charge)
	}
	return charged, refused
}

func (f *fleet) charge(i int, tokens int64) (waits bool, err error) {
	f.serial++
	c, waits, err := f.holders[i].Charge(fmt.Sprint(f.serial), ws, tokens, f.clock(i).Add(time.Hour), f.clock(i))
	if err == nil && !waits {
		f.recordCharge(i, c)
	}
	return waits, err
}

func (f *fleet) deliver(p pendingDraw) {
	reply, err := f.owners[p.owner].Draw(p.draw, f.now)
	if err == nil {
		f.toHost = append(f.toHost, pendingReply{p.host, p.key, reply})
	}
}

// exchange lets a host send a Draw to the current owner and applies the reply, without delay.
func (f *fleet) exchange(i int) (charged, refused int) {
	d := f.holders[i].Poll(f.clock(i))
	if d == nil {
		return 0, 0
	}
	reply, err := f.owner().Draw(d, f.now)
	if err != nil {
		f.holders[i].DrawFailed(d.Sequence, f.clock(i))
		return 0, 0
	}
	return f.handleOutcomes(i, f.holders[i].Reply(reply, f.clock(i)))
}

// tolerance covers the floating-point error of the oracle, in tokens.
const tolerance = 0.001

func (f *fleet) advance(d time.Duration) {
	f.now = f.now.Add(d)
	for i, h := range f.holders {
		f.handleOutcomes(i, h.Tick(f.clock(i)))
	}
}

// chargeUntilQueued charges small requests until one is queued or refused, 40 at most.
func (f *fleet) chargeUntilQueued(i int) {
	for range 40 {
		waits, err := f.charge(i, max(1, f.oracle.limit.Burst/400))
		if waits || err != nil {
			return
		}
	}
}

func (f *fleet) refund(n int, pick picker) {
	e := &f.oracle.charges[n]
	for i, h := range f.holders {
		if e.host == f.serialOf(i) && !e.refunded {
			unused := int64(pick(0, int(e.tokens)))
			h.Refund(e.charge, unused)
			e.refunded = true
			e.tokens -= unused
		}
	}
}
