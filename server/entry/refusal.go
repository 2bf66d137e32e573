package entry

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	goahttp "goa.design/goa/v3/http"
	goa "goa.design/goa/v3/pkg"

	"cowsliptiller/coord/fault"
	"cowsliptiller/server/gen/callers"
)

// refusalBody is the error body that callers get, whoever writes it: the
// generated code, the listener, or the error event at the end of a stream.
type refusalBody struct {
	Kind       string `json:"kind"`
	Message    string `json:"message"`
	Ran        string `json:"ran"`
	Repeatable bool   `json:"repeatable"`
	RequestID  string `json:"request_id"`
	RetryAfter *int   `json:"retry_after,omitempty"`
}

// StatusCode implements goahttp.Statuser for errors that the design does not name.
func (b *refusalBody) StatusCode() int {
	return fault.AnswerFor(fault.Kind(b.Kind)).Status
}

// refuse returns err as the API's error and keeps it for the log.
func refuse(record *record, err error) error {
	record.err = err
	return refusal(err, record.id)
}

func refusal(err error, requestID string) *callers.Refusal {
	e := fault.From(err)
	return &callers.Refusal{
		Kind:       string(e.Kind),
		Message:    e.Message,
		Ran:        string(e.Ran),
		Repeatable: e.Repeatable,
		RequestID:  requestID,
		RetryAfter: seconds(e.RetryAfter),
	}
}

// seconds rounds up: a caller who comes back early is refused again.
func seconds(d time.Duration) *int {
	if d <= 0 {
		return nil
	}
	s := int((d + time.Second - 1) / time.Second)
	return &s
}

// refusalOf gives every error of the generated code the one shape. What is not
// a Refusal comes from the decoder: the request is malformed and did not run.
func refusalOf(ctx context.Context, err error) goahttp.Statuser {
	record := recordOf(ctx)
	var known *callers.Refusal
	if errors.As(err, &known) {
		return bodyOf(known)
	}
	var malformed *goa.ServiceError
	if errors.As(err, &malformed) {
		err = fault.New(fault.InvalidRequest, "%s", malformed.Message)
	}
	record.err = err
	return bodyOf(refusal(err, record.id))
}

func bodyOf(r *callers.Refusal) *refusalBody {
	return &refusalBody{
		Kind:       r.Kind,
		Message:    r.Message,
		Ran:        r.Ran,
		Repeatable: r.Repeatable,
		RequestID:  r.RequestID,
		RetryAfter: r.RetryAfter,
	}
}

// writeRefusal answers a request that never reached the generated code.
func writeRefusal(w http.ResponseWriter, err error, requestID string) {
	body := bodyOf(refusal(err, requestID))
	if body.RetryAfter != nil {
		w.Header().Set("Retry-After", strconv.Itoa(*body.RetryAfter))
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Goa-Error", body.Kind) // as goa marks its own refusals
	w.WriteHeader(body.StatusCode())
	_ = json.NewEncoder(w).Encode(body)
}

// errorEvent is the last event of a stream that broke.
func errorEvent(err error, requestID string) []byte {
	text, _ := json.Marshal(bodyOf(refusal(err, requestID)))
	event := append([]byte("event: error\ndata: "), text...)
	return append(event, "\n\n"...)
}
