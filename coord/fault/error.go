package fault

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/ansel1/merry/v2"
)

// Error is a failure of a known kind. Ran, Repeatable and RetryAfter default to
// the kind's row in the table. WithRan overrides Ran and Repeatable where the
// point of failure shows whether the request ran.
type Error struct {
	Kind       Kind
	Message    string
	Ran        Ran
	Repeatable bool
	RetryAfter time.Duration
}

// Error implements error.
func (e *Error) Error() string {
	return string(e.Kind) + ": " + e.Message
}

// New returns an error of kind k, wrapped with the caller's stack trace. The
// message is returned to clients: it must not contain an API key, a prompt or a
// response.
func New(k Kind, format string, args ...any) error {
	return merry.WrapSkipping(newError(k, fmt.Sprintf(format, args...)), 1)
}

// NewRetryAfter is like New and sets the delay after which the client should retry.
func NewRetryAfter(k Kind, wait time.Duration, format string, args ...any) error {
	e := newError(k, fmt.Sprintf(format, args...))
	e.RetryAfter = wait
	return merry.WrapSkipping(e, 1)
}

// WithRan returns a copy of the Error in err with the given Ran and Repeatable.
// It must not be called with a nil err.
func WithRan(err error, ran Ran, repeatable bool) error {
	e := *From(err)
	e.Ran = ran
	e.Repeatable = repeatable
	return &e
}

// From returns the Error that err wraps. Without one, context errors become
// Canceled or Timeout and any other error becomes Internal. From(nil) is nil.
func From(err error) *Error {
	if err == nil {
		return nil
	}
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return newError(Timeout, "the deadline passed")
	case errors.Is(err, context.Canceled):
		return newError(Canceled, "the caller went away")
	}
	return newError(Internal, err.Error())
}

// Is reports whether From(err) is of kind k. It is false for a nil err.
func Is(err error, k Kind) bool {
	return err != nil && From(err).Kind == k
}

func newError(k Kind, message string) *Error {
	a := AnswerFor(k)
	return &Error{Kind: k, Message: message, Ran: a.Ran, Repeatable: a.Repeatable, RetryAfter: a.RetryAfter}
}
