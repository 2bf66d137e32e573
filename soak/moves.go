package soak

import (
	"context"
	"math/rand/v2"
	"os"
	"syscall"
	"time"
)

// seedCount is how many seeds a settings file names.
const seedCount = 3

// move changes the seeds of the settings and stops all processes, in series that overlap
// with the other trouble, until the context ends.
func move(ctx context.Context, f *fleet, r *rand.Rand) {
	for pause(ctx, time.Duration(300+r.IntN(1500))*time.Millisecond); ctx.Err() == nil; {
		own := rand.New(rand.NewPCG(r.Uint64(), r.Uint64()))
		switch draw := r.IntN(6); {
		case draw < 3:
			f.moveSeeds(own)
		case draw < 4:
			f.faults.Go(func() { f.spoilSettings(ctx, own) })
		default:
			f.stopAll(ctx, own)
		}
		pause(ctx, time.Duration(500+r.IntN(3000))*time.Millisecond)
	}
}

// moveSeeds names other hosts as seeds, with and without a disk. Some settings files are
// written anew at once, with or without a signal, the others when their process starts
// next.
func (f *fleet) moveSeeds(r *rand.Rand) {
	var seeds []string
	for _, i := range r.Perm(len(f.hosts))[:seedCount] {
		seeds = append(seeds, f.hosts[i].ip)
	}
	f.setSeeds(seeds)
	for _, h := range f.hosts {
		now, signal := r.IntN(3) > 0, r.IntN(2) > 0
		if !now {
			continue
		}
		if err := f.write(h); err != nil {
			f.journal.fail("%s: settings not written: %v", h.name, err)
		}
		if signal && h.olderThan(reloadAfter) {
			h.signal(syscall.SIGHUP)
		}
	}
}

// spoilSettings leaves a host with a settings file that cannot be read, or names no seeds,
// for a while.
func (f *fleet) spoilSettings(ctx context.Context, r *rand.Rand) {
	h := anyHost(f, r)
	if !h.claim() {
		return // another fault has this host
	}
	defer h.release()
	text := "Seeds = ["
	if r.IntN(2) == 0 {
		text = f.encode(h, nil)
	}
	if err := os.WriteFile(h.settings, []byte(text), 0o600); err != nil {
		f.journal.fail("%s: settings not written: %v", h.name, err)
	}
	if h.olderThan(reloadAfter) {
		h.signal(syscall.SIGHUP)
	}
	hold(ctx, r, 500*time.Millisecond, 4*time.Second)
	if err := f.write(h); err != nil {
		f.journal.fail("%s: settings not written: %v", h.name, err)
	}
}

// stopAll kills all processes at once and starts them again.
func (f *fleet) stopAll(ctx context.Context, r *rand.Rand) {
	for _, h := range f.hosts {
		own := rand.New(rand.NewPCG(r.Uint64(), r.Uint64()))
		f.faults.Go(func() { f.replace(ctx, h, syscall.SIGKILL, own) })
	}
}
