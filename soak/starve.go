package soak

import (
	"context"
	"math/rand/v2"
	"syscall"
	"time"
)

// Terms of an entry host whose processor is rationed: it runs for shareOfPeriod of each rationPeriod, as
// under a CPU quota that it uses up.
const (
	rationPeriod  = 100 * time.Millisecond
	shareOfPeriod = 0.15
)

const (
	orderRate    = 65                    // calls a second that may run once
	orderPlaces  = 6                     // of each target for them
	longInterval = 60 * time.Millisecond // between the events of a stream
)

// prepareStarved has streams that last for a second, models that every target can hold, and plain targets with few
// places. It is called before the clients send requests.
func (f *fleet) prepareStarved(c *clients) {
	c.models, c.omitsOrigins = modelNames[:modelCapacity], true
	for i, t := range f.targets {
		t.mu.Lock()
		t.interval, t.version = longInterval, softwareVersions[0]
		if i >= modelTargets {
			t.places = orderPlaces
		}
		t.mu.Unlock()
	}
}

// starve disturbs targets and callers while entry hosts are short of processor, in the background until the context
// ends: the processors of the entry hosts without a disk are rationed; a target of another software version joins while
// one of them is paused; targets pause or send nothing within a stream; callers cancel streams and resume them
// at other hosts; and calls that may run once are sent at orderRate.
func starve(ctx context.Context, f *fleet, c *clients, seed uint64, leaving int) {
	own := func(n uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 200+n)) }
	for i, h := range f.hosts[entriesWithDisk:entryCount] {
		r := own(uint64(i))
		f.activeFaults.Go(func() { rationHost(ctx, h, r) })
	}
	for i := range 2 {
		r := own(uint64(1000 + i))
		f.activeFaults.Go(func() { suspendTargets(ctx, f, r) })
	}
	r, releases := own(2000), own(5000)
	f.activeFaults.Go(func() { muteTargets(ctx, f, r) })
	f.activeFaults.Go(func() { releaseDuringPause(ctx, f, f.hosts[entriesWithDisk], releases) })
	c.runOrders(ctx, own(3000))
	for i := range leaving {
		c.runLeaving(ctx, own(uint64(4000+i)))
	}
}

// rationHost stops and continues the host's process in each rationPeriod. The host is not disturbed by it: its
// process is slow, and the machine is not.
func rationHost(ctx context.Context, h *host, r *rand.Rand) {
	for ; ctx.Err() == nil; sleepBetween(ctx, r, 100*time.Millisecond, 500*time.Millisecond) {
		if !h.claim() {
			continue
		}
		end, cancel := context.WithTimeout(ctx, time.Duration(1+r.IntN(3))*time.Second)
		for end.Err() == nil {
			h.signalUndisturbed(syscall.SIGSTOP)
			sleep(ctx, time.Duration((1-shareOfPeriod)*float64(rationPeriod)))
			h.signalUndisturbed(syscall.SIGCONT)
			sleep(ctx, time.Duration(shareOfPeriod*float64(rationPeriod)))
		}
		cancel()
		h.release()
	}
}

// releaseDuringPause restarts a target with another software version while an entry host is paused. The first delay is
// longer than a stream can last: until then the service has had one version.
func releaseDuringPause(ctx context.Context, f *fleet, h *host, r *rand.Rand) {
	sleepBetween(ctx, r, 5*time.Second, 11*time.Second)
	for !h.claim() && ctx.Err() == nil {
		sleep(ctx, 10*time.Millisecond)
	}
	if ctx.Err() != nil {
		return
	}
	defer h.release()
	h.signal(syscall.SIGSTOP)
	defer h.signal(syscall.SIGCONT)
	t := f.targets[r.IntN(modelTargets)]
	t.setNextVersion(softwareVersions[1])
	t.end(time.Duration(r.IntN(200)) * time.Millisecond)
	sleepBetween(ctx, r, 500*time.Millisecond, 3*time.Second)
}

// setNextVersion sets the software version of the target's next start.
func (t *target) setNextVersion(version string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.nextVersion = version
}

// signalUndisturbed sends a signal that does not count as a disturbance of the host.
func (h *host) signalUndisturbed(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process != nil {
		_ = h.process.cmd.Process.Signal(s)
	}
}

// suspendTargets suspends random targets until the context ends.
func suspendTargets(ctx context.Context, f *fleet, r *rand.Rand) {
	for sleepBetween(ctx, r, 100*time.Millisecond, time.Second); ctx.Err() == nil; sleepBetween(ctx, r, 100*time.Millisecond, time.Second) {
		t := f.targets[r.IntN(len(f.targets))]
		if !t.suspend() {
			continue
		}
		sleepBetween(ctx, r, 300*time.Millisecond, 2*time.Second)
		t.resume()
	}
}

// muteTargets has random targets with models send nothing within a stream until the context ends.
func muteTargets(ctx context.Context, f *fleet, r *rand.Rand) {
	for ctx.Err() == nil {
		t := f.targets[r.IntN(modelTargets)]
		t.setFailureMode("mute")
		sleepBetween(ctx, r, 300*time.Millisecond, time.Second)
		t.setFailureMode("")
		sleepBetween(ctx, r, 200*time.Millisecond, 800*time.Millisecond)
	}
}

// suspend stops the target's process: it accepts connections, and sends nothing. It reports false if it is
// suspended already.
func (t *target) suspend() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.resumed != nil {
		return false
	}
	t.resumed = make(chan struct{})
	t.suspensions = append(t.suspensions, linkSpan{from: time.Now()})
	return true
}

func (t *target) resume() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.suspensions[len(t.suspensions)-1].to = time.Now()
	close(t.resumed)
	t.resumed = nil
}

// awaitResumed returns when the target is not suspended.
func (t *target) awaitResumed() {
	t.mu.Lock()
	resumed := t.resumed
	t.mu.Unlock()
	if resumed != nil {
		<-resumed
	}
}

// resumedBefore returns when the latest suspension that began before a time ended, or that time if it had not
// ended; zero: none began.
func (t *target) resumedBefore(at time.Time) (resumed time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.suspensions {
		if !s.from.Before(at) {
			break
		}
		resumed = s.to
		if s.to.IsZero() || s.to.After(at) {
			resumed = at
		}
	}
	return resumed
}

// runOrders sends calls that may run once at orderRate until the context ends.
func (c *clients) runOrders(ctx context.Context, r *rand.Rand) {
	c.wg.Go(func() {
		for ctx.Err() == nil {
			s := c.newRequest("order", r)
			c.wg.Go(func() { c.send(ctx, s) })
			sleep(ctx, time.Second/orderRate)
		}
	})
}

// runLeaving sends streams that their callers leave after a few events or after a gap, and resume at other hosts,
// until the context ends.
func (c *clients) runLeaving(ctx context.Context, r *rand.Rand) {
	c.wg.Go(func() {
		for ctx.Err() == nil {
			s := c.newRequest("stream", r)
			if r.IntN(2) == 0 {
				s.entry = entriesWithDisk + r.IntN(entryCount-entriesWithDisk)
			}
			s.waitLimit = time.Duration(200+r.IntN(2500)) * time.Millisecond
			c.sendAndResume(ctx, s, r)
			sleep(ctx, time.Duration(r.IntN(30))*time.Millisecond)
		}
	})
}
