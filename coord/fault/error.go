package fault

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/ansel1/merry/v2"
)

// Error is a failure with its kind. Ran, Repeatable and RetryAfter start from
// the table; WithRan narrows Ran where the place of failure proves more.
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

// New returns an error of kind k, wrapped with the caller's stack. The message
// is shown to callers: it never holds a key, a prompt or an answer.
func New(k Kind, format string, args ...any) error {
	return merry.WrapSkipping(newError(k, fmt.Sprintf(format, args...)), 1)
}

// After is New with the time after which the caller should come back.
func After(k Kind, wait time.Duration, format string, args ...any) error {
	e := newError(k, fmt.Sprintf(format, args...))
	e.RetryAfter = wait
	return merry.WrapSkipping(e, 1)
}

// WithRan returns a copy of err's fault that says what is known of the run.
func WithRan(err error, ran Ran, repeatable bool) error {
	e := *From(err)
	e.Ran = ran
	e.Repeatable = repeatable
	return &e
}

// From finds the fault in err. Context errors become Canceled or Timeout;
// anything else becomes Internal. From(nil) is nil.
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

// Is reports whether err is a fault of kind k.
func Is(err error, k Kind) bool {
	return err != nil && From(err).Kind == k
}

func newError(k Kind, message string) *Error {
	a := AnswerFor(k)
	return &Error{Kind: k, Message: message, Ran: a.Ran, Repeatable: a.Repeatable, RetryAfter: a.RetryAfter}
}
