package store

import (
	"fmt"

	"cowsliptiller/coord/fault"
)

// fatalError is the panic value that unwinds pebble, whose logger must not return from
// Fatalf.
type fatalError struct{ err error }

// Error implements error, so that a panic in a background goroutine prints it.
func (f fatalError) Error() string { return f.err.Error() }

// Failed returns a channel that is closed at the first disk failure; Err then returns it.
func (s *Store) Failed() <-chan struct{} { return s.failed }

// Err returns the first disk failure, or nil.
func (s *Store) Err() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.err
}

// fail records cause if it is the first failure, and returns the first failure.
func (s *Store) fail(cause error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil {
		return s.err
	}
	s.err = fault.New(fault.Internal, "I/O on the data folder failed and its durable contents are unknown; the process must stop: %v", cause)
	close(s.failed)
	return s.err
}

// recoverFatal converts the panic of pebbleLogger.Fatalf to an error.
func (s *Store) recoverFatal(err *error) {
	switch r := recover().(type) {
	case nil:
	case fatalError:
		*err = r.err
	default:
		panic(r)
	}
}

// pebbleLogger forwards pebble's errors to the log. Infof is dropped: pebble logs each
// flush there.
type pebbleLogger struct{ s *Store }

func (l pebbleLogger) Infof(string, ...any) {}

func (l pebbleLogger) Errorf(format string, args ...any) { l.s.log.Error(fmt.Sprintf(format, args...)) }

// Fatalf is called on an unrecoverable pebble error. Save recovers the panic and
// returns the error; in a background goroutine it terminates the process.
func (l pebbleLogger) Fatalf(format string, args ...any) {
	err := l.s.fail(fmt.Errorf(format, args...))
	l.s.log.Error(err.Error())
	panic(fatalError{err})
}
