package rpc

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/twitchtv/twirp"

	"cowsliptiller/coord/fault"
)

// Keys of the metadata of a Twirp error, which encodes a fault.Error.
const (
	metaKind       = "kind"
	metaRan        = "ran"
	metaRepeatable = "repeatable"
	metaRetryAfter = "retry_after_ms"
)

// ToTwirp converts the error of a service method to a Twirp error that carries its kind.
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

// FromTwirp converts the error of a client call to a fault.Error. A call without a
// response from the service becomes fault.Unavailable, unless its context ended. Both
// carry fault.RanUnknown, because the service may have executed the call. A fault.Error
// is returned unchanged.
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
		return faultFromMeta(t)
	}
	if errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
		return fault.WithRan(err, fault.RanUnknown, false)
	}
	return fault.WithRan(fault.New(fault.Unavailable, "no answer: %v", err), fault.RanUnknown, false)
}

func faultFromMeta(t twirp.Error) error {
	retryAfterMs, _ := strconv.ParseInt(t.Meta(metaRetryAfter), 10, 64)
	err := fault.NewRetryAfter(fault.Kind(t.Meta(metaKind)), time.Duration(retryAfterMs)*time.Millisecond, "%s", t.Msg())
	return fault.WithRan(err, fault.Ran(t.Meta(metaRan)), t.Meta(metaRepeatable) == "true")
}
