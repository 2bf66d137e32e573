package engine

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"
)

// Speed configures the uneven speed of a target. The zero value announces no speed.
type Speed struct {
	Percent      float64 // processing time in percent of the usual one, outside of bursts; 0: not announced
	BurstPercent float64 // the same in a burst; 0: there are no bursts
	// BurstShare is the share of the time in bursts, below 1; 0: 0.15.
	BurstShare float64
	// MinBurst and MaxBurst are the shortest and longest duration of a burst; 0: 300 ms and 1 s.
	MinBurst, MaxBurst time.Duration
	Seed               uint64 // of the times of the bursts
}

func (s Speed) withDefaults() Speed {
	if s.BurstShare <= 0 || s.BurstShare >= 1 {
		s.BurstShare = 0.15
	}
	if s.MinBurst <= 0 {
		s.MinBurst = 300 * time.Millisecond
	}
	if s.MaxBurst < s.MinBurst {
		s.MaxBurst = max(s.MinBurst, time.Second)
	}
	return s
}

// bursts draws the times of a target's bursts. It is not safe for concurrent use.
type bursts struct {
	speed      Speed
	rnd        *rand.Rand
	begin, end time.Time // of the burst that runs or comes next
}

func newBursts(s Speed, now time.Time) *bursts {
	b := &bursts{speed: s, rnd: rand.New(rand.NewPCG(s.Seed, s.Seed)), end: now}
	b.draw()
	return b
}

// draw sets the burst after the current one. The pauses between bursts are exponentially distributed.
func (b *bursts) draw() {
	length := b.speed.MinBurst + time.Duration(b.rnd.Float64()*float64(b.speed.MaxBurst-b.speed.MinBurst))
	mean := float64(b.speed.MinBurst+b.speed.MaxBurst) / 2
	pause := b.rnd.ExpFloat64() * mean * (1 - b.speed.BurstShare) / b.speed.BurstShare
	b.begin = b.end.Add(time.Duration(pause))
	b.end = b.begin.Add(length)
}

// percent returns the processing time at now in percent of the usual one; 0: none is announced.
func (b *bursts) percent(now time.Time) float64 {
	if b.speed.BurstPercent <= 0 {
		return b.speed.Percent
	}
	for !now.Before(b.end) {
		b.draw()
	}
	if now.Before(b.begin) {
		return b.speed.Percent
	}
	return b.speed.BurstPercent
}

// speedPercent returns the target's current processing time in percent of the usual one; 0: none is
// announced.
func (t *Target) speedPercent() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.bursts.percent(t.cfg.Now())
}

// atSpeed scales a duration by the target's current speed.
func (t *Target) atSpeed(d time.Duration) time.Duration {
	percent := t.speedPercent()
	if percent <= 0 {
		return d
	}
	return time.Duration(float64(d) * percent / 100)
}

// announceLoad sets the Server-Load header to RUNNING,QUEUED,SLOTS,PERCENT if a speed is configured.
// The target has no queue: requests above Config.Concurrency slow all others down.
func (t *Target) announceLoad(h http.Header) {
	percent := t.speedPercent()
	if percent <= 0 {
		return
	}
	h.Set("Server-Load", fmt.Sprintf("%d,0,%d,%s", t.running.Load(), t.cfg.Concurrency, strconv.FormatFloat(percent, 'f', -1, 64)))
}
