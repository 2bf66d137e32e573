package entry

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/fault"
	"cowsliptiller/coord/request"
	"cowsliptiller/server/rpc"
	"cowsliptiller/server/wire"
)

// attempt is one hand-over of a call to an agent.
type attempt struct {
	id       string
	cancel   context.CancelFunc
	ctx      context.Context
	response *http.Response
	reader   *wire.Reader
	accepted *rpc.Accepted
}

// try hands the call to an agent and returns when its target has begun to
// answer. The error says what is known of the run.
func (e *Entry) try(ctx context.Context, c *call, id string, agent *coordpb.Host) (*attempt, error) {
	a := &attempt{id: id}
	a.ctx, a.cancel = context.WithCancel(ctx)
	err := e.send(a, c, agent)
	if err == nil {
		err = a.begin()
	}
	e.metrics.Attempted(err)
	if err != nil {
		a.close()
		return nil, err
	}
	return a, nil
}

// send posts the call. Before a connection is there nothing has been handed
// over; from then on the run is unknown until the agent tells.
func (e *Entry) send(a *attempt, c *call, agent *coordpb.Host) error {
	var connected atomic.Bool
	ctx := httptrace.WithClientTrace(a.ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	// The wrapper hides the reader's type: net/http can then not have the body
	// again, and so never repeats the request on its own.
	body := struct{ io.Reader }{bytes.NewReader(c.body)}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+agent.Address+wire.RunPath, body)
	if err != nil {
		return fault.New(fault.Unavailable, "the agent's address cannot be used")
	}
	req.ContentLength = int64(len(c.body))
	if len(c.body) == 0 {
		req.Body = http.NoBody
	}
	e.headOf(a, c).WriteHeader(req.Header)
	a.response, err = e.cfg.Client.Do(req)
	if err != nil {
		return sendError(a.ctx, connected.Load())
	}
	a.reader = wire.NewReader(a.id, a.response.Body)
	return statusError(a.response.StatusCode)
}

func (e *Entry) headOf(a *attempt, c *call) *wire.Request {
	return &wire.Request{
		Attempt:     a.id,
		ID:          c.id,
		Workspace:   c.workspace.Name,
		KeyID:       c.keyID,
		Class:       c.class.Name,
		Priority:    priorityOf(c),
		Repeatable:  c.class.Repeatable,
		Model:       c.model,
		Adapter:     c.adapter,
		Service:     c.service,
		Path:        c.path,
		Call:        c.key,
		Fingerprint: c.fingerprint,
		ContentType: c.contentType,
		Timeout:     c.deadline.Sub(e.cfg.Now()),
		Tokens:      c.tokens,
		Weight:      c.workspace.Rate,
		Exclusive:   c.alone,
	}
}

// priorityOf is the band of the call's class: what a person waits for first.
func priorityOf(c *call) int {
	return int(request.NewClass(c.class).Band)
}

func sendError(ctx context.Context, connected bool) error {
	if !connected {
		return notHandedOver(ctx)
	}
	if fault.Is(context.Cause(ctx), fault.Leaving) {
		return fault.New(fault.TargetFailed, "this host is shutting down, the answer is not complete")
	}
	if err := ctx.Err(); err != nil {
		return fault.From(err)
	}
	return fault.New(fault.TargetFailed, "the agent broke off before its answer")
}

func notHandedOver(ctx context.Context) error {
	switch err := ctx.Err(); {
	case fault.Is(context.Cause(ctx), fault.Leaving):
		return context.Cause(ctx)
	case errors.Is(err, context.DeadlineExceeded):
		return fault.New(fault.Expired, "the deadline passed before a target was asked")
	case err != nil:
		return fault.WithRan(err, fault.RanNo, true)
	}
	return fault.New(fault.Unavailable, "the agent cannot be reached")
}

// statusError reads the status of an agent's answer. Other than 200 are given
// before the agent's handler has looked at the request, but for what a fault
// of the agent itself may cause.
func statusError(status int) error {
	switch {
	case status == http.StatusOK:
		return nil
	case status >= http.StatusInternalServerError:
		return fault.New(fault.TargetFailed, "the agent answered with status %d", status)
	}
	return fault.New(fault.Unavailable, "the agent took no request: status %d", status)
}

// begin reads the first frame: the head of the target's answer, or the failure.
func (a *attempt) begin() error {
	frame, err := a.reader.Next()
	if err != nil {
		return a.why(err)
	}
	switch part := frame.Part.(type) {
	case *rpc.Frame_Accepted:
		a.accepted = part.Accepted
		return nil
	case *rpc.Frame_Failure:
		return failureError(part.Failure)
	}
	return fault.New(fault.StreamBroken, "the answer did not begin with its head")
}

// next returns the next part of the answer: bytes, or the end.
func (a *attempt) next() ([]byte, *rpc.End, error) {
	frame, err := a.reader.Next()
	if err != nil {
		return nil, nil, a.why(err)
	}
	switch part := frame.Part.(type) {
	case *rpc.Frame_Chunk:
		return part.Chunk, nil, nil
	case *rpc.Frame_End:
		return nil, part.End, nil
	case *rpc.Frame_Failure:
		return nil, nil, failureError(part.Failure)
	}
	return nil, nil, fault.New(fault.StreamBroken, "the answer has a part out of order")
}

// why prefers the context's end over the read error that it caused.
func (a *attempt) why(err error) error {
	if ended := a.ctx.Err(); ended != nil {
		return fault.From(ended)
	}
	return err
}

// close ends the attempt; what still runs at the target is cancelled.
func (a *attempt) close() {
	a.cancel()
	if a.response != nil {
		_ = a.response.Body.Close()
	}
}

// agentError is a failure that an agent told, with what came with it.
type agentError struct {
	error
	failure *rpc.Failure
}

// Unwrap returns the failure as an error.
func (e agentError) Unwrap() error { return e.error }

func failureError(f *rpc.Failure) error {
	return agentError{error: wire.ErrorFromFailure(f), failure: f}
}

// crashed reports whether the target died while the attempt ran there.
func crashed(err error) bool {
	var told agentError
	return errors.As(err, &told) && told.failure.Crashed
}

// reportOf returns the load that came with a failure, nil if none did.
func reportOf(err error) *rpc.LoadReport {
	var told agentError
	if errors.As(err, &told) {
		return told.failure.Load
	}
	return nil
}
