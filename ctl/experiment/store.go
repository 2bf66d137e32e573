package experiment

import "time"

// store is the weight store: loads share its speed beyond its number at full
// speed, and starts beyond its rate wait.
type store struct {
	full    float64
	rate    float64
	speed   float64 // 1: full
	loads   []*storeLoad
	at      time.Duration // of the last settling
	nextAt  time.Duration // earliest start by the rate
	version int
}

type storeLoad struct {
	left float64 // seconds at full speed
	done func()
}

// fetch starts a load as soon as the store's rate allows.
func (s *store) fetch(w *world, seconds float64, done func()) {
	// The store lets a second's worth of starts through at once.
	s.nextAt = max(s.nextAt, w.now-time.Second) + time.Duration(float64(time.Second)/s.rate)
	w.after(max(0, s.nextAt-w.now), func() {
		s.settle(w)
		s.loads = append(s.loads, &storeLoad{seconds, done})
		s.wake(w)
	})
}

func (s *store) pace() float64 {
	return s.speed * min(1, s.full/max(1, float64(len(s.loads))))
}

// settle brings every load up to now.
func (s *store) settle(w *world) {
	done := (w.now - s.at).Seconds() * s.pace()
	s.at = w.now
	for _, l := range s.loads {
		l.left -= done
	}
}

// wake schedules the end of the load that ends first.
func (s *store) wake(w *world) {
	s.version++
	if len(s.loads) == 0 {
		return
	}
	least := s.loads[0].left
	for _, l := range s.loads {
		least = min(least, l.left)
	}
	version := s.version
	w.after(time.Duration(max(0, least)/s.pace()*float64(time.Second))+time.Microsecond, func() {
		if version == s.version {
			s.finish(w)
		}
	})
}

func (s *store) finish(w *world) {
	s.settle(w)
	var ended []func()
	kept := s.loads[:0]
	for _, l := range s.loads {
		if l.left <= 1e-9 {
			ended = append(ended, l.done)
			continue
		}
		kept = append(kept, l)
	}
	s.loads = kept
	s.wake(w)
	for _, done := range ended {
		done()
	}
}

func (s *store) setSpeed(w *world, speed float64) {
	s.settle(w)
	s.speed = speed
	s.wake(w)
}
