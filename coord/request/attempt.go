package request

import (
	"time"

	"cowsliptiller/coord/fault"
)

// A refusal that says "not run" must be true. Without one place that decides it, a
// timeout before hand-over and one after look alike, and a caller told "not run"
// orders a second truck. Only the state of the attempts decides here: an error's own
// word counts only when it is the agent's proof that nothing reached the target.

// State is how far an attempt has come.
type State int

// The states of an attempt, in order.
const (
	Waiting    State = iota // nothing was sent
	HandedOver              // bytes may have reached the agent
	Accepted                // the target began to answer
	Finished                // the answer was whole
	Refused                 // proven not run
	Failed                  // ended after hand-over without a whole answer
)

// Attempt is one try to have a call run.
type Attempt struct {
	ID     string
	Target string
	state  State
}

// State returns how far the attempt has come.
func (a *Attempt) State() State { return a.state }

// Ran says what is known of the attempt's run.
func (a *Attempt) Ran() fault.Ran {
	switch a.state {
	case Waiting, Refused:
		return fault.RanNo
	case Finished:
		return fault.RanYes
	default:
		return fault.RanUnknown
	}
}

func (a *Attempt) over() bool {
	return a.state == Finished || a.state == Refused || a.state == Failed
}

// Call is one call of a caller with all its attempts. It gives one final answer.
type Call struct {
	ID        string
	Workspace string
	Class     Class
	Deadline  time.Time
	attempts  []*Attempt
	answered  bool
}

// NewCall returns a call without attempts.
func NewCall(id, workspace string, class Class, deadline time.Time) *Call {
	return &Call{ID: id, Workspace: workspace, Class: class, Deadline: deadline}
}

// Begin adds an attempt. Errors: fault.Expired at or past the deadline,
// fault.Internal when the call was answered, or when a call that may not be repeated
// has an attempt that may have run.
func (c *Call) Begin(id, target string, now time.Time) (*Attempt, error) {
	switch {
	case c.answered:
		return nil, fault.New(fault.Internal, "call %s was answered", c.ID)
	case !now.Before(c.Deadline):
		return nil, fault.WithRan(fault.New(fault.Expired, "the deadline passed"), c.Ran(), c.Ran() == fault.RanNo)
	case !c.MayRepeat():
		return nil, fault.WithRan(fault.New(fault.Internal, "call %s may have run", c.ID), c.Ran(), false)
	}
	a := &Attempt{ID: id, Target: target}
	c.attempts = append(c.attempts, a)
	return a, nil
}

// MayRepeat reports whether a further attempt could not run the call twice.
func (c *Call) MayRepeat() bool {
	return c.Class.Repeatable || c.Ran() == fault.RanNo
}

// Attempts returns the number of attempts begun.
func (c *Call) Attempts() int { return len(c.attempts) }

// Reached returns the number of attempts that may have reached a target.
func (c *Call) Reached() int {
	n := 0
	for _, a := range c.attempts {
		if a.Ran() != fault.RanNo {
			n++
		}
	}
	return n
}

// Ran says what is known of the call's run over all attempts.
func (c *Call) Ran() fault.Ran {
	ran := fault.RanNo
	for _, a := range c.attempts {
		switch a.Ran() {
		case fault.RanYes:
			return fault.RanYes
		case fault.RanUnknown:
			ran = fault.RanUnknown
		}
	}
	return ran
}

// HandOver is called before the first byte is sent to the agent. It reports false
// when the deadline has passed, the attempt is over, or another attempt of a call that
// may not be repeated may have run: then nothing may be sent.
func (c *Call) HandOver(a *Attempt, now time.Time) bool {
	if a.state != Waiting || c.answered || !now.Before(c.Deadline) || !c.MayRepeat() {
		return false
	}
	a.state = HandedOver
	return true
}

// Accept notes that the target began to answer; false for an attempt that is over,
// whose reply is late and must be dropped.
func (c *Call) Accept(a *Attempt) bool {
	if a.state != HandedOver {
		return false
	}
	a.state = Accepted
	return true
}

// Finish notes that the answer was whole; false for an attempt that is over.
func (c *Call) Finish(a *Attempt) bool {
	if a.state != HandedOver && a.state != Accepted {
		return false
	}
	a.state = Finished
	return true
}

// Fail ends an attempt and returns its error with what is true of the run. Proof
// says that the error is the agent's own word that the target was not reached, or
// that no byte was sent; only then is a handed-over attempt not run.
func (c *Call) Fail(a *Attempt, err error, proof bool) *fault.Error {
	e := *fault.From(err)
	if !a.over() {
		if a.state == Waiting || a.state == HandedOver && proof && e.Ran == fault.RanNo {
			a.state = Refused
		} else {
			a.state = Failed
		}
	}
	e.Ran = a.Ran()
	e.Repeatable = e.Repeatable && e.Ran == fault.RanNo
	return &e
}

// Answer makes the call's one final answer of err: nil for a whole answer. It reports
// false when a final answer was given before. Attempts that are not over are
// abandoned, and their late replies dropped.
func (c *Call) Answer(err error) (*fault.Error, bool) {
	if c.answered {
		return nil, false
	}
	c.answered = true
	if err == nil {
		return nil, true
	}
	for _, a := range c.attempts {
		if !a.over() {
			c.Fail(a, err, false)
		}
	}
	e := *fault.From(err)
	e.Ran = c.Ran()
	if e.Ran != fault.RanNo {
		e.Kind = maybeRan(e.Kind)
		e.Repeatable = c.Class.Repeatable
	}
	return &e, true
}

// maybeRan returns the kind to answer with when the call may have run and the kind
// of the last error says it did not: the earlier attempt's uncertainty wins.
func maybeRan(k fault.Kind) fault.Kind {
	if fault.AnswerFor(k).Ran != fault.RanNo {
		return k
	}
	if k == fault.Expired {
		return fault.Timeout
	}
	return fault.TargetFailed
}
