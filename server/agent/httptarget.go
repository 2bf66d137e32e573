package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"cowsliptiller/coord/fault"
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
		Transport: &http.Transport{
			DialContext:           dialer.DialContext,
			DisableKeepAlives:     fresh,
			DisableCompression:    true,
			MaxIdleConnsPerHost:   64,
			IdleConnTimeout:       targetIdle,
			ExpectContinueTimeout: 0,
		},
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
		return &Reply{Status: res.StatusCode, ContentType: res.Header.Get("Content-Type"), Body: res.Body}, nil
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

// reason is the innermost text of a transport error, which holds no URL.
func reason(err error) string {
	for {
		inner := errors.Unwrap(err)
		if inner == nil {
			return err.Error()
		}
		err = inner
	}
}

type orderBody struct {
	Model   string `json:"model,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Version string `json:"version,omitempty"`
	Bytes   int64  `json:"bytes,omitempty"`
	Fencing uint64 `json:"fencing,omitempty"`
	LoadMS  int64  `json:"load_ms,omitempty"`
}

// Load implements Target.
func (t *HTTPTarget) Load(ctx context.Context, o ModelOrder) error {
	limit := max(loadSlack*o.LoadTime, minLoadLimit)
	return t.order(ctx, limit, "/admin/load", orderBody{Model: o.Model, Version: o.Version, Bytes: o.Bytes, Fencing: o.Fencing, LoadMS: o.LoadTime.Milliseconds()})
}

// Unload implements Target.
func (t *HTTPTarget) Unload(ctx context.Context, o ModelOrder) error {
	return t.order(ctx, minLoadLimit, "/admin/unload", orderBody{Model: o.Model, Fencing: o.Fencing})
}

// LoadAdapter implements Target.
func (t *HTTPTarget) LoadAdapter(ctx context.Context, o AdapterOrder) error {
	return t.order(ctx, adapterTimeout, "/admin/adapters/load", orderBody{Model: o.Model, Adapter: o.Adapter, Bytes: o.Bytes, LoadMS: o.LoadTime.Milliseconds()})
}

// UnloadAdapter implements Target.
func (t *HTTPTarget) UnloadAdapter(ctx context.Context, o AdapterOrder) error {
	return t.order(ctx, adapterTimeout, "/admin/adapters/unload", orderBody{Model: o.Model, Adapter: o.Adapter})
}

// order sends an order on a new connection: an old one may have gone silent,
// and an order that waits there holds up memory.
func (t *HTTPTarget) order(ctx context.Context, limit time.Duration, path string, body orderBody) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	text, err := json.Marshal(body)
	if err != nil {
		return fault.New(fault.Internal, "order: %v", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, t.base+path, bytes.NewReader(text))
	if err != nil {
		return fault.New(fault.Internal, "order: %v", err)
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := t.once.Do(req)
	if err != nil {
		return fault.New(fault.TargetFailed, "the target gave no answer to an order: %s", reason(err))
	}
	defer closeBody(res.Body)
	return orderAnswer(res)
}

func orderAnswer(res *http.Response) error {
	if res.StatusCode == http.StatusOK {
		return nil
	}
	var answer struct {
		Error   string `json:"error"`
		Highest uint64 `json:"highest"`
	}
	_ = json.NewDecoder(io.LimitReader(res.Body, maxStatusBytes)).Decode(&answer)
	switch {
	case res.StatusCode == http.StatusConflict && answer.Error == "fenced":
		return fault.New(fault.Fenced, "the target has obeyed order %d", answer.Highest)
	case res.StatusCode == http.StatusInsufficientStorage:
		return fault.New(fault.NoCapacity, "the target's memory is full")
	case res.StatusCode == http.StatusNotFound:
		return fault.New(fault.NotHere, "the target does not hold the model")
	}
	return fault.New(fault.TargetFailed, "the target answered an order with status %d", res.StatusCode)
}

type statusBody struct {
	MemoryBytes int64 `json:"memory_bytes"`
	UsedBytes   int64 `json:"used_bytes"`
	Running     int   `json:"running"`
	Models      []struct {
		Name     string `json:"name"`
		Version  string `json:"version"`
		Bytes    int64  `json:"bytes"`
		Fencing  uint64 `json:"fencing"`
		State    string `json:"state"`
		Adapters []struct {
			Name  string `json:"name"`
			Bytes int64  `json:"bytes"`
		} `json:"adapters"`
	} `json:"models"`
	HighestFencing uint64 `json:"highest_fencing"`
}

// Status implements Target.
func (t *HTTPTarget) Status(ctx context.Context) (*Status, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, t.base+"/admin/status", nil)
	if err != nil {
		return nil, fault.New(fault.Internal, "status: %v", err)
	}
	res, err := t.once.Do(req)
	if err != nil {
		return nil, fault.New(fault.Unavailable, "the target does not tell its status: %s", reason(err))
	}
	defer closeBody(res.Body)
	var body statusBody
	if err := json.NewDecoder(io.LimitReader(res.Body, maxStatusBytes)).Decode(&body); err != nil || res.StatusCode != http.StatusOK {
		return nil, fault.New(fault.TargetFailed, "the target's status cannot be read (status %d)", res.StatusCode)
	}
	return body.status(), nil
}

func (b *statusBody) status() *Status {
	s := &Status{MemoryBytes: b.MemoryBytes, UsedBytes: b.UsedBytes, Running: b.Running, HighestFencing: b.HighestFencing}
	for _, m := range b.Models {
		// A target that tells no state lists only what is loaded.
		loaded := LoadedModel{Name: m.Name, Version: m.Version, Bytes: m.Bytes, Fencing: m.Fencing, Loaded: m.State == "" || m.State == "loaded", Loading: m.State == "loading"}
		for _, a := range m.Adapters {
			loaded.Adapters = append(loaded.Adapters, LoadedAdapter{Name: a.Name, Bytes: a.Bytes})
		}
		s.Models = append(s.Models, loaded)
	}
	return s
}

// closeBody reads what is left, so that a kept connection can be used again.
func closeBody(body io.ReadCloser) {
	_, _ = io.CopyN(io.Discard, body, maxStatusBytes)
	_ = body.Close()
}
