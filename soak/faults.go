package soak

import (
	"context"
	"math/rand/v2"
	"syscall"
	"time"
)

// fault injects one fault, waits, and removes it. Faults run concurrently and may overlap.
type fault func(ctx context.Context, f *fleet, r *rand.Rand)

// sleepBetween waits for a random duration in [least, most) or until ctx ends.
func sleepBetween(ctx context.Context, r *rand.Rand, least, most time.Duration) {
	sleep(ctx, least+time.Duration(r.Int64N(int64(most-least))))
}

// signalReadyAfter is the time after its start by which a process has installed its signal
// handlers, also on a busy machine.
const signalReadyAfter = 3 * time.Second

func randomHost(f *fleet, r *rand.Rand) *host { return f.hosts[r.IntN(len(f.hosts))] }

// faults lists the fault types by name. The sorted names are drawn from, so a change here
// changes the schedule of every seed.
var faults = map[string]fault{
	"kill": func(ctx context.Context, f *fleet, r *rand.Rand) {
		f.restart(ctx, randomHost(f, r), syscall.SIGKILL, r)
	},
	"stop": func(ctx context.Context, f *fleet, r *rand.Rand) {
		f.restart(ctx, randomHost(f, r), syscall.SIGTERM, r)
	},
	"pause": func(ctx context.Context, f *fleet, r *rand.Rand) {
		h := randomHost(f, r)
		if !h.claim() {
			return // another fault has claimed this host
		}
		defer h.release()
		h.signal(syscall.SIGSTOP)
		sleepBetween(ctx, r, 500*time.Millisecond, 6*time.Second)
		h.signal(syscall.SIGCONT)
	},
	"reload": func(_ context.Context, f *fleet, r *rand.Rand) {
		// SIGHUP kills a process that has not installed its handler yet. The platform
		// would restart it; this fleet doesn't.
		if h := randomHost(f, r); h.olderThan(signalReadyAfter) {
			h.signal(syscall.SIGHUP)
		}
	},
	"kill_control": func(ctx context.Context, f *fleet, r *rand.Rand) {
		for _, h := range f.hosts[:entriesWithDisk] {
			own := rand.New(rand.NewPCG(r.Uint64(), r.Uint64()))
			f.activeFaults.Go(func() { f.restart(ctx, h, syscall.SIGKILL, own) })
		}
	},
	"target_crash": func(ctx context.Context, f *fleet, r *rand.Rand) {
		t := f.targets[r.IntN(len(f.targets))]
		t.restart(true)
		sleepBetween(ctx, r, 200*time.Millisecond, 2*time.Second)
		t.restart(false)
	},
	"disk_full": diskFull, "disk_full_restart": diskFullRestart, "disk_partial": diskPartial, "disks_full_in_turn": disksFullInTurn,
	"target_refuse": injectTargetFailure("refuse"), "target_reset": injectTargetFailure("reset"), "target_hang": injectTargetFailure("hang"), "target_break": injectTargetFailure("break"),
	"link_delay": injectLinkFault("delay"), "link_reset": injectLinkFault("reset"), "link_silent": injectLinkFault("silent"), "link_oneway": injectLinkFault("oneway"),
}

// hostFaults are the faults that disturb the processes of hosts.
var hostFaults = map[string]bool{
	"kill": true, "stop": true, "pause": true, "reload": true, "kill_control": true,
	"disk_full": true, "disk_full_restart": true, "disk_partial": true, "disks_full_in_turn": true,
}

// injectTargetFailure returns a fault that sets the failure mode of a random target.
func injectTargetFailure(mode string) fault {
	return func(ctx context.Context, f *fleet, r *rand.Rand) {
		t := f.targets[r.IntN(len(f.targets))]
		t.setFailureMode(mode)
		sleepBetween(ctx, r, 300*time.Millisecond, 2*time.Second)
		t.setFailureMode("")
	}
}

// injectLinkFault returns a fault that sets the link fault of a random proxy.
func injectLinkFault(name string) fault {
	return func(ctx context.Context, f *fleet, r *rand.Rand) {
		p := f.proxies[r.IntN(len(f.proxies))]
		p.setFault(name)
		sleepBetween(ctx, r, 300*time.Millisecond, 2*time.Second)
		p.setFault("")
	}
}

// restart ends a host's process with a signal and starts it again.
func (f *fleet) restart(ctx context.Context, h *host, s syscall.Signal, r *rand.Rand) {
	f.restartWith(ctx, h, s, r, func() error { return nil })
}

// restartWithoutData kills a control host and starts it again with an empty disk.
func (f *fleet) restartWithoutData(ctx context.Context, h *host, r *rand.Rand) {
	f.restartWith(ctx, h, syscall.SIGKILL, r, h.removeData)
}

// restartWith is like restart, and calls down while the process is down.
func (f *fleet) restartWith(ctx context.Context, h *host, s syscall.Signal, r *rand.Rand, down func() error) {
	if !h.claim() {
		return // another fault has claimed this host
	}
	defer h.release()
	f.restartClaimed(ctx, h, s, r, down)
}

// restartClaimed is restartWith for a host that the caller has claimed.
func (f *fleet) restartClaimed(ctx context.Context, h *host, s syscall.Signal, r *rand.Rand, down func() error) {
	if !h.stop(s) {
		f.history.addFailure("%s did not exit within %v of signal %v", h.name, stopTimeout, s)
	}
	if err := down(); err != nil {
		f.history.addFailure("%s: action while the process was down failed: %v", h.name, err)
	}
	sleepBetween(ctx, r, 50*time.Millisecond, time.Second)
	if err := f.start(h); err != nil {
		f.history.addFailure("%s: restart failed: %v", h.name, err)
	}
}
