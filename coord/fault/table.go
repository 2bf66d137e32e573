package fault

import (
	"net/http"
	"time"
)

// defaultRetryAfter is the retry delay where no measured value is available. One
// second is longer than an election and a leader's lease with the default settings.
const defaultRetryAfter = time.Second

// statusClientClosedRequest is the non-standard status, introduced by nginx, for a
// request whose client disconnected.
const statusClientClosedRequest = 499

var table = map[Kind]Answer{
	InvalidRequest:  {http.StatusBadRequest, "invalid_argument", RanNo, false, 0},
	TooLarge:        {http.StatusRequestEntityTooLarge, "invalid_argument", RanNo, false, 0},
	Unauthenticated: {http.StatusUnauthorized, "unauthenticated", RanNo, false, 0},
	NotFound:        {http.StatusNotFound, "not_found", RanNo, false, 0},
	Stale:           {http.StatusServiceUnavailable, "unavailable", RanNo, true, defaultRetryAfter},
	RateLimited:     {http.StatusTooManyRequests, "resource_exhausted", RanNo, true, defaultRetryAfter},
	Overloaded:      {http.StatusServiceUnavailable, "resource_exhausted", RanNo, true, defaultRetryAfter},
	NoCapacity:      {http.StatusServiceUnavailable, "unavailable", RanNo, true, defaultRetryAfter},
	Quarantined:     {http.StatusUnprocessableEntity, "failed_precondition", RanNo, false, 0},
	NotHere:         {http.StatusMisdirectedRequest, "failed_precondition", RanNo, true, 0},
	Leaving:         {http.StatusServiceUnavailable, "unavailable", RanNo, true, defaultRetryAfter},
	Fenced:          {http.StatusConflict, "failed_precondition", RanNo, false, 0},
	Expired:         {http.StatusGatewayTimeout, "deadline_exceeded", RanNo, true, 0},
	Timeout:         {http.StatusGatewayTimeout, "deadline_exceeded", RanUnknown, false, 0},
	TargetFailed:    {http.StatusBadGateway, "unavailable", RanUnknown, false, 0},
	StreamBroken:    {http.StatusBadGateway, "data_loss", RanUnknown, false, 0},
	AlreadyClaimed:  {http.StatusConflict, "already_exists", RanUnknown, false, 0},
	KeyReused:       {http.StatusUnprocessableEntity, "already_exists", RanNo, false, 0},
	Conflict:        {http.StatusConflict, "aborted", RanNo, false, 0},
	NoQuorum:        {http.StatusServiceUnavailable, "unavailable", RanNo, true, defaultRetryAfter},
	NotLeader:       {http.StatusServiceUnavailable, "unavailable", RanNo, true, 0},
	Canceled:        {statusClientClosedRequest, "canceled", RanUnknown, false, 0},
	Unavailable:     {http.StatusServiceUnavailable, "unavailable", RanNo, true, defaultRetryAfter},
	Internal:        {http.StatusInternalServerError, "internal", RanUnknown, false, 0},
}

// kinds lists the kinds in the order of the constants, so that generated code and
// documentation are stable.
var kinds = []Kind{
	InvalidRequest, TooLarge, Unauthenticated, NotFound, Stale, RateLimited, Overloaded, NoCapacity,
	Quarantined, NotHere, Leaving, Fenced, Expired, Timeout, TargetFailed, StreamBroken, AlreadyClaimed,
	KeyReused, Conflict, NoQuorum, NotLeader, Canceled, Unavailable, Internal,
}

// Kinds returns all kinds in a fixed order, in a new slice.
func Kinds() []Kind {
	return append([]Kind(nil), kinds...)
}

// AnswerFor returns the answer for k, or that for Internal if k is not a known kind.
func AnswerFor(k Kind) Answer {
	a, ok := table[k]
	if !ok {
		return table[Internal]
	}
	return a
}

// Known reports whether k is one of Kinds.
func Known(k Kind) bool {
	_, ok := table[k]
	return ok
}
