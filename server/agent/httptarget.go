package agent

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"cowsliptiller/coord/fault"
	"cowsliptiller/coord/framing"
	"cowsliptiller/server/dial"
	"cowsliptiller/server/upstream"
)

// Bounds on calls to the target, which stands beside the agent on the same host.
const (
	targetDialTimeout = time.Second
	targetIdle        = 15 * time.Second
	statusTimeout     = 2 * time.Second
	adapterTimeout    = 10 * time.Second
	// loadSlack is how many times its expected time a load may take before the
	// agent stops waiting and asks the target what became of it. A store that
	// is slowed tenfold is among the faults to be lived with.
	loadSlack    = 12
	minLoadLimit = 10 * time.Second
	// maxStatusBytes bounds an answer to a status or an order: 300 models with
	// 1,000 adapters at 256 bytes a line.
	maxStatusBytes = 1 << 20
)

// HTTPTarget is a target with an HTTP interface: completions, admin orders,
// and plain service calls.
type HTTPTarget struct {
	base string
	kept *http.Client // keeps connections; for what may run twice
	once *http.Client // a new connection for each request
}

// NewHTTPTarget returns the target at base, such as http://127.0.0.1:9000.
func NewHTTPTarget(base string) *HTTPTarget {
	return &HTTPTarget{base: base, kept: targetClient(false), once: targetClient(true)}
}

// targetClient returns a client that follows no redirect and uses no proxy.
func targetClient(fresh bool) *http.Client {
	dialer := &net.Dialer{Timeout: targetDialTimeout, KeepAliveConfig: targetKeepAlive, Control: boundUnacknowledged}
	return &http.Client{
		Transport: upstream.CheckHeads(&http.Transport{
			DialContext:           dial.ResettingOnClose(dial.KeepingErrors(dialer.DialContext)),
			DisableKeepAlives:     fresh,
			DisableCompression:    true,
			MaxIdleConnsPerHost:   64,
			IdleConnTimeout:       targetIdle,
			ExpectContinueTimeout: 0,
		}),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Call implements Target. The caller's key is not among the headers: the entry
// host never sends it on.
//
// net/http repeats a request on its own when a kept connection turns out to be
// dead, if the request looks idempotent to it: it has an Idempotency-Key header,
// or its body can be had again. A call that must run at most once so goes out on
// a new connection, with a body that can be read once, and its name in a header
// that net/http does not know.
func (t *HTTPTarget) Call(ctx context.Context, c *Call) (*Reply, error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := t.callRequest(ctx, c)
	if err != nil {
		return nil, err
	}
	res, err := t.clientFor(c).Do(req)
	if err != nil {
		return nil, callError(ctx, err, connected.Load())
	}
	if c.Model == "" || res.StatusCode < http.StatusInternalServerError && res.StatusCode != http.StatusNotFound {
		return &Reply{
			Status: res.StatusCode, ContentType: res.Header.Get("Content-Type"),
			Framing: framing.Of(res.ContentLength, res.TransferEncoding), Body: res.Body,
		}, nil
	}
	_ = res.Body.Close()
	if res.StatusCode == http.StatusNotFound {
		return nil, fault.New(fault.NotHere, "the target does not hold the model")
	}
	return nil, fault.New(fault.TargetFailed, "the target answered with status %d", res.StatusCode)
}

func (t *HTTPTarget) clientFor(c *Call) *http.Client {
	if c.Repeatable {
		return t.kept
	}
	return t.once
}

func (t *HTTPTarget) callRequest(ctx context.Context, c *Call) (*http.Request, error) {
	// The wrapper hides the reader's type, so that net/http sets no GetBody.
	body := struct{ io.Reader }{bytes.NewReader(c.Body)}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, t.base+c.Path, body)
	if err != nil {
		return nil, fault.New(fault.InvalidRequest, "the path cannot be used: %v", err)
	}
	req.ContentLength = int64(len(c.Body))
	if len(c.Body) == 0 {
		req.Body = http.NoBody
	}
	req.Header.Set("Cowslip-Attempt", c.Attempt)
	req.Header.Set("Cowslip-Workspace", c.Workspace)
	req.Header.Set("Cowslip-Priority", strconv.Itoa(c.Priority))
	if c.Name != "" {
		req.Header.Set("Cowslip-Call", c.Name)
	}
	if c.ContentType != "" {
		req.Header.Set("Content-Type", c.ContentType)
	}
	return req, nil
}

// callError says what is known of a call that got no answer. Without a
// connection the target cannot have begun it.
func callError(ctx context.Context, err error, connected bool) error {
	if cause := context.Cause(ctx); cause != nil {
		return handedOver(cause, connected)
	}
	if !connected {
		return fault.New(fault.Unavailable, "the target cannot be reached")
	}
	return fault.New(fault.TargetFailed, "the target broke off before its answer: %s", reason(err))
}

// handedOver narrows an error to what is true before a connection was there.
func handedOver(err error, connected bool) error {
	if connected {
		return fault.WithRan(err, fault.RanUnknown, false)
	}
	return notRun(err)
}

// reason is the innermost text of a transport error, which holds no URL, without what it quotes of
// an answer.
func reason(err error) string {
	for {
		inner := errors.Unwrap(err)
		if inner == nil {
			return upstream.WithoutContent(err).Error()
		}
		err = inner
	}
}
