package soak

import (
	"context"
	"math/rand/v2"
	"syscall"
	"time"
)

// seedsPerFile is the number of seed addresses in a settings file.
const seedsPerFile = 3

// reconfigure changes the seeds in the settings files, corrupts settings files and
// restarts all processes, until the context ends. It runs concurrently with the other
// faults.
func reconfigure(ctx context.Context, f *fleet, r *rand.Rand) {
	for sleep(ctx, time.Duration(300+r.IntN(1500))*time.Millisecond); ctx.Err() == nil; {
		own := rand.New(rand.NewPCG(r.Uint64(), r.Uint64()))
		switch draw := r.IntN(6); {
		case draw < 3:
			f.changeSeeds(own)
		case draw < 4:
			f.activeFaults.Go(func() { f.corruptSettings(ctx, own) })
		default:
			f.restartAll(ctx, own)
		}
		sleep(ctx, time.Duration(500+r.IntN(3000))*time.Millisecond)
	}
}

// changeSeeds chooses new seed hosts, with or without a disk. Some settings files are
// rewritten immediately, with or without SIGHUP; the others when their process next
// starts.
func (f *fleet) changeSeeds(r *rand.Rand) {
	var seeds []string
	for _, i := range r.Perm(len(f.hosts))[:seedsPerFile] {
		seeds = append(seeds, f.hosts[i].ip)
	}
	f.setSeeds(seeds)
	for _, h := range f.hosts {
		now, signal := r.IntN(3) > 0, r.IntN(2) > 0
		if !now {
			continue
		}
		if err := f.writeSettings(h); err != nil {
			f.history.addFailure("%s: writing the settings file: %v", h.name, err)
		}
		if signal && h.olderThan(signalReadyAfter) {
			h.signal(syscall.SIGHUP)
		}
	}
}

// corruptSettings temporarily replaces a host's settings file by one that cannot be parsed
// or that has no seeds.
func (f *fleet) corruptSettings(ctx context.Context, r *rand.Rand) {
	h := randomHost(f, r)
	if !h.claim() {
		return // another fault has claimed this host
	}
	defer h.release()
	text := "Seeds = ["
	if r.IntN(2) == 0 {
		text = f.encodeSettings(h, nil)
	}
	if err := f.replaceSettings(h, text); err != nil {
		f.history.addFailure("%s: writing the settings file: %v", h.name, err)
	}
	if h.olderThan(signalReadyAfter) {
		h.signal(syscall.SIGHUP)
	}
	sleepBetween(ctx, r, 500*time.Millisecond, 4*time.Second)
	if err := f.writeSettings(h); err != nil {
		f.history.addFailure("%s: writing the settings file: %v", h.name, err)
	}
}

// restartAll kills and restarts all processes concurrently.
func (f *fleet) restartAll(ctx context.Context, r *rand.Rand) {
	for _, h := range f.hosts {
		own := rand.New(rand.NewPCG(r.Uint64(), r.Uint64()))
		f.activeFaults.Go(func() { f.restart(ctx, h, syscall.SIGKILL, own) })
	}
}
