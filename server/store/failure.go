package store

import (
	"fmt"
	"sync"

	"cowsliptiller/coord/fault"
)

// Failed returns a channel that is closed at the first disk failure; Err then returns it.
func (s *Store) Failed() <-chan struct{} { return s.failed }

// Err returns the first disk failure, or nil.
func (s *Store) Err() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.err
}

// fail records cause if it is the first failure, cuts the database off from the disk, and
// returns the first failure.
func (s *Store) fail(cause error) error {
	defer s.disk.cutOff()
	return s.recordFailure(cause)
}

func (s *Store) recordFailure(cause error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil {
		return s.err
	}
	s.err = fault.New(fault.Internal, "I/O on the data folder failed and its durable contents are unknown; the process must stop: %v", cause)
	close(s.failed)
	return s.err
}

// call runs f, which calls the database. If the database stops in Fatalf, from which f may
// never return, call returns the failure.
func (s *Store) call(f func() error) error {
	result := make(chan error, 1)
	go func() { result <- f() }()
	select {
	case err := <-result:
		return err
	case <-s.stuck:
		return s.Err()
	}
}

// isStuck reports whether the database is abandoned.
func (s *Store) isStuck() bool {
	select {
	case <-s.stuck:
		return true
	default:
		return false
	}
}

// pebbleLogger forwards pebble's errors to the log. Infof is dropped: pebble logs each
// flush there.
type pebbleLogger struct{ s *Store }

func (l pebbleLogger) Infof(string, ...any) {}

func (l pebbleLogger) Errorf(format string, args ...any) { l.s.log.Error(fmt.Sprintf(format, args...)) }

// Fatalf is called on an unrecoverable error of pebble, on any goroutine. It must neither
// return nor unwind: the caller's deferred calls may unlock mutexes that the caller has
// unlocked before, which ends the process. It fails the store and blocks; the database is
// abandoned.
func (l pebbleLogger) Fatalf(format string, args ...any) {
	l.s.log.Error("the database is abandoned", "error", l.s.fail(fmt.Errorf(format, args...)))
	l.s.stuckOnce.Do(func() { close(l.s.stuck) })
	var forever sync.Mutex
	forever.Lock()
	forever.Lock()
}
