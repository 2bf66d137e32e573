package request

import (
	"time"

	"cowsliptiller/coord/fault"
)

// An error that says "not run" must be true: a caller that gets one repeats the call, and
// an order that did run is then placed twice. A timeout before hand-over and one after it
// look alike to the code that reports them, so only the states of the attempts decide
// here. What an error says of itself counts only as the agent's proof that nothing reached
// the target.

// State is the state of an attempt.
type State int

// The states of an attempt. The last three are final.
const (
	Waiting    State = iota // nothing has been sent
	HandedOver              // bytes may have reached the agent
	Accepted                // the target has begun to answer
	Finished                // the answer is complete
	Refused                 // proven not run
	Failed                  // ended after hand-over without a complete answer
)

// Attempt is one attempt to run a call on a target.
type Attempt struct {
	ID     string
	Target string
	state  State
}

// State returns the current state of the attempt.
func (a *Attempt) State() State { return a.state }

// Ran reports whether the attempt ran, as far as is known.
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

func (a *Attempt) ended() bool {
	return a.state == Finished || a.state == Refused || a.state == Failed
}

// Call is a call with all its attempts. It has exactly one final answer.
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

// Begin adds an attempt. Errors: fault.Expired at or after the deadline; fault.Internal
// when the call has its final answer, or when it may not be repeated and an attempt may
// have run.
func (c *Call) Begin(id, target string, now time.Time) (*Attempt, error) {
	switch {
	case c.answered:
		return nil, fault.New(fault.Internal, "call %s already has its final answer", c.ID)
	case !now.Before(c.Deadline):
		return nil, fault.WithRan(fault.New(fault.Expired, "the deadline passed"), c.Ran(), c.Ran() == fault.RanNo)
	case !c.MayRepeat():
		return nil, fault.WithRan(fault.New(fault.Internal, "call %s may have run and is not repeatable", c.ID), c.Ran(), false)
	}
	a := &Attempt{ID: id, Target: target}
	c.attempts = append(c.attempts, a)
	return a, nil
}

// MayRepeat reports whether another attempt is allowed: the call is idempotent, or no
// attempt can have run.
func (c *Call) MayRepeat() bool {
	return c.Class.Repeatable || c.Ran() == fault.RanNo
}

// Attempts returns the number of attempts, including those that were never sent.
func (c *Call) Attempts() int { return len(c.attempts) }

// PossibleRuns returns the number of attempts that ran or may have run.
func (c *Call) PossibleRuns() int {
	n := 0
	for _, a := range c.attempts {
		if a.Ran() != fault.RanNo {
			n++
		}
	}
	return n
}

// Ran reports whether any attempt of the call ran, as far as is known.
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

// HandOver must be called before the first byte is sent to the agent. It reports false, and
// nothing may be sent, when the deadline has passed, the call has its final answer, the
// attempt is not waiting, or the call may not be repeated and another attempt may have run.
func (c *Call) HandOver(a *Attempt, now time.Time) bool {
	if a.state != Waiting || c.answered || !now.Before(c.Deadline) || !c.MayRepeat() {
		return false
	}
	a.state = HandedOver
	return true
}

// MarkAccepted records that the target has begun to answer. It reports false for an attempt that
// has ended; its late reply must be dropped.
func (c *Call) MarkAccepted(a *Attempt) bool {
	if a.state != HandedOver {
		return false
	}
	a.state = Accepted
	return true
}

// MarkFinished records that the answer is complete. It reports false for an attempt that has
// ended.
func (c *Call) MarkFinished(a *Attempt) bool {
	if a.state != HandedOver && a.state != Accepted {
		return false
	}
	a.state = Finished
	return true
}

// Fail ends an attempt and returns its error with Ran set from the attempt's state. Proof
// is true if the agent itself reported that the target was not reached, or if no byte was
// sent; only then does an attempt count as not run after hand-over.
func (c *Call) Fail(a *Attempt, err error, proof bool) *fault.Error {
	e := *fault.From(err)
	if !a.ended() {
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

// Resolve sets the call's final answer: err, or nil for a complete answer. It reports false
// if the call already has one. On an error, attempts that have not ended are abandoned, and
// their late replies are dropped.
func (c *Call) Resolve(err error) (*fault.Error, bool) {
	if c.answered {
		return nil, false
	}
	c.answered = true
	if err == nil {
		return nil, true
	}
	for _, a := range c.attempts {
		if !a.ended() {
			c.Fail(a, err, false)
		}
	}
	e := *fault.From(err)
	e.Ran = c.Ran()
	if e.Ran != fault.RanNo {
		e.Kind = possibleRunKind(e.Kind)
		e.Repeatable = c.Class.Repeatable
	}
	return &e, true
}

// possibleRunKind returns the kind to answer with when the call may have run. A kind that
// means "not run" describes only the last attempt, so it is replaced by one that leaves
// open whether an earlier attempt ran.
func possibleRunKind(k fault.Kind) fault.Kind {
	if fault.AnswerFor(k).Ran != fault.RanNo {
		return k
	}
	if k == fault.Expired {
		return fault.Timeout
	}
	return fault.TargetFailed
}
