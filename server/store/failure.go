package store

import (
	"fmt"

	"cowsliptiller/coord/fault"
)

// fatalError carries a failure out of pebble, whose logger must not return from Fatalf.
type fatalError struct{ err error }

// Error implements error, so that a panic in a background goroutine prints it.
func (f fatalError) Error() string { return f.err.Error() }

// Failed is closed when the disk has failed; Err then says how.
func (s *Store) Failed() <-chan struct{} { return s.failed }

// Err returns the first failure of the disk, or nil.
func (s *Store) Err() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.err
}

// fail notes the first failure and returns it.
func (s *Store) fail(cause error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil {
		return s.err
	}
	s.err = fault.New(fault.Internal, "the data folder failed and what is on the disk is not known; the process must stop: %v", cause)
	close(s.failed)
	return s.err
}

func (s *Store) recoverFatal(err *error) {
	switch r := recover().(type) {
	case nil:
	case fatalError:
		*err = r.err
	default:
		panic(r)
	}
}

// logger passes pebble's log on. Infof is dropped: pebble tells each flush.
type logger struct{ s *Store }

func (l logger) Infof(string, ...any) {}

func (l logger) Errorf(format string, args ...any) { l.s.log.Error(fmt.Sprintf(format, args...)) }

// Fatalf is called when pebble cannot go on. In Save the panic becomes the
// error; in a background goroutine it stops the process with the message.
func (l logger) Fatalf(format string, args ...any) {
	err := l.s.fail(fmt.Errorf(format, args...))
	l.s.log.Error(err.Error())
	panic(fatalError{err})
}
