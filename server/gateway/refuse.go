package gateway

import (
	"cmp"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"cowsliptiller/coord/fault"
	"cowsliptiller/platform"
	"cowsliptiller/server/intake"
)

// refusalBody is the JSON body of an answer that the gateway itself sends.
type refusalBody struct {
	Kind       string `json:"kind"`
	Message    string `json:"message"`
	Ran        string `json:"ran"`
	Repeatable bool   `json:"repeatable"`
}

// refuse answers a request that was not served. The status follows from the error's
// kind alone (coord/fault); request.Call.Resolve ensures that a status which
// promises that nothing ran is sent only if that is true.
func (g *Gateway) refuse(w http.ResponseWriter, c *call, f *fault.Error) {
	answer := fault.AnswerFor(f.Kind)
	status := answer.Status
	h := w.Header()
	h.Set("Content-Type", "application/json")
	platform.SetRequestID(h, c.RequestID)
	if after := retryAfter(f); after > 0 {
		c.record.RetryAfter = after
		status = platform.RefusalStatus(status)
		platform.SetRetryAfter(h, after)
	}
	if g.isDraining() {
		h.Set("Connection", "close")
	}
	if c.buffered == nil {
		intake.Discard(w, c.http)
	}
	body, err := json.Marshal(refusalBody{string(f.Kind), f.Message, string(f.Ran), f.Repeatable})
	if err != nil {
		g.config.Log.Error("encoding the refusal body failed", "error", err)
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	c.record.Status = status
	w.WriteHeader(status)
	// A write error means that the caller has disconnected.
	_, _ = w.Write(body)
}

// retryAfter returns after what time the caller of a refused request may return; 0: not stated.
func retryAfter(f *fault.Error) time.Duration {
	if f.Ran != fault.RanNo {
		return 0
	}
	return cmp.Or(f.RetryAfter, fault.AnswerFor(f.Kind).RetryAfter)
}

// recordEnd logs and counts how a request ended.
func (g *Gateway) recordEnd(c *call, f *fault.Error) {
	c.record.Took = g.config.Now().Sub(c.start)
	c.record.ViewAge = g.targets.boardAge().Round(time.Millisecond)
	if f != nil {
		c.record.Kind, c.record.Cause, c.record.Ran = f.Kind, f.Message, f.Ran
	}
	g.config.Events.RequestEnded(c.record)
	g.config.Metrics.observe(c.record)
	g.observePrompt(c)
}
