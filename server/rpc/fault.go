package rpc

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/twitchtv/twirp"

	"cowsliptiller/coord/fault"
)

// Keys of a twirp error's metadata, which carries a fault between processes.
const (
	metaKind       = "kind"
	metaRan        = "ran"
	metaRepeatable = "repeatable"
	metaRetryAfter = "retry_after_ms"
)

// ToTwirp turns an error of a service method into a twirp error with its kind.
func ToTwirp(err error) error {
	if err == nil {
		return nil
	}
	f := fault.From(err)
	out := twirp.NewError(twirp.ErrorCode(fault.AnswerFor(f.Kind).TwirpCode), f.Message)
	out = out.WithMeta(metaKind, string(f.Kind))
	out = out.WithMeta(metaRan, string(f.Ran))
	out = out.WithMeta(metaRepeatable, strconv.FormatBool(f.Repeatable))
	return out.WithMeta(metaRetryAfter, strconv.FormatInt(f.RetryAfter.Milliseconds(), 10))
}

// FromTwirp turns an error of a client call into a fault. A call that got no
// answer of the service is fault.Unavailable with an unknown run: the service may
// have carried it out. A fault stays as it is.
func FromTwirp(err error) error {
	if err == nil {
		return nil
	}
	var known *fault.Error
	if errors.As(err, &known) {
		return err
	}
	var t twirp.Error
	if errors.As(err, &t) && fault.Known(fault.Kind(t.Meta(metaKind))) {
		return carried(t)
	}
	if errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
		return fault.WithRan(err, fault.RanUnknown, false)
	}
	return fault.WithRan(fault.New(fault.Unavailable, "no answer: %v", err), fault.RanUnknown, false)
}

func carried(t twirp.Error) error {
	wait, _ := strconv.ParseInt(t.Meta(metaRetryAfter), 10, 64)
	err := fault.After(fault.Kind(t.Meta(metaKind)), time.Duration(wait)*time.Millisecond, "%s", t.Msg())
	return fault.WithRan(err, fault.Ran(t.Meta(metaRan)), t.Meta(metaRepeatable) == "true")
}
