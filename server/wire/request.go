package wire

import (
	"encoding/hex"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"cowsliptiller/coord/fault"
)

// HTTP paths of an agent. RunPath accepts requests; ProbePath responds at once
// and serves as a liveness check of the connection.
const (
	RunPath   = "/agent/v1/run"
	ProbePath = "/agent/v1/probe"
)

// PrefixHashBytes is the number of body bytes that identify a prompt prefix, both for the
// entry host's choice of a target and for the order in the agent's queue. It is some
// 250 tokens: enough to distinguish instruction texts, and less than the shared
// texts for which a prefix cache pays. A shorter body has no prefix, because caching
// it saves little.
const PrefixHashBytes = 1 << 10

// Names of the headers that carry a Request. None of them contains a caller's API key.
const (
	headerAttempt     = "Cowslip-Attempt"
	headerRequest     = "Cowslip-Request"
	headerWorkspace   = "Cowslip-Workspace"
	headerKeyID       = "Cowslip-Key-Id"
	headerClass       = "Cowslip-Class"
	headerPriority    = "Cowslip-Priority"
	headerRepeatable  = "Cowslip-Repeatable"
	headerModel       = "Cowslip-Model"
	headerAdapter     = "Cowslip-Adapter"
	headerService     = "Cowslip-Service"
	headerPath        = "Cowslip-Path"
	headerCall        = "Cowslip-Call"
	headerFingerprint = "Cowslip-Fingerprint"
	headerLeft        = "Cowslip-Left-Ms"
	headerTokens      = "Cowslip-Tokens"
	headerWeight      = "Cowslip-Weight"
	headerAlone       = "Cowslip-Alone"
)

// Request is the metadata of one attempt. The caller's body follows unchanged.
type Request struct {
	Attempt     string        // unique id of this hand-over to an agent
	ID          string        // id of the caller's request, the same for all attempts; used in logs
	Workspace   string        // workspace of the caller's key
	KeyID       string        // public id of that key, checked again at hand-over
	Class       string        // request class
	Priority    int           // 0 is the highest priority
	Repeatable  bool          // whether the call may run more than once
	Model       string        // engines: base model
	Adapter     string        // engines: adapter of the base model, if any
	Service     string        // other services: service name
	Path        string        // request path at the target, with a leading slash
	Call        string        // id of the call that is passed to the target; empty for engines
	Fingerprint []byte        // digest of workspace, model or service name, and body
	ContentType string        // media type of the body
	Timeout     time.Duration // time until the caller's deadline
	Tokens      int64         // prompt tokens plus the maximum of generated tokens
	Weight      int64         // rate of the workspace, which weights its share of the target
	Exclusive   bool          // must run alone, because the target crashed while this request ran
}

// WriteHeader sets the headers that encode r.
func (r *Request) WriteHeader(h http.Header) {
	set := func(name, value string) {
		if value != "" {
			h.Set(name, url.QueryEscape(value))
		}
	}
	set(headerAttempt, r.Attempt)
	set(headerRequest, r.ID)
	set(headerWorkspace, r.Workspace)
	set(headerKeyID, r.KeyID)
	set(headerClass, r.Class)
	set(headerModel, r.Model)
	set(headerAdapter, r.Adapter)
	set(headerService, r.Service)
	set(headerPath, r.Path)
	set(headerCall, r.Call)
	set(headerFingerprint, hex.EncodeToString(r.Fingerprint))
	h.Set(headerPriority, strconv.Itoa(r.Priority))
	h.Set(headerRepeatable, strconv.FormatBool(r.Repeatable))
	h.Set(headerAlone, strconv.FormatBool(r.Exclusive))
	h.Set(headerLeft, strconv.FormatInt(r.Timeout.Milliseconds(), 10))
	h.Set(headerWeight, strconv.FormatInt(r.Weight, 10))
	h.Set(headerTokens, strconv.FormatInt(r.Tokens, 10))
	if r.ContentType != "" {
		h.Set("Content-Type", r.ContentType)
	}
}

// ReadHeader decodes a Request. A missing or malformed header is
// fault.InvalidRequest; nothing has run then.
func ReadHeader(h http.Header) (*Request, error) {
	d := decoder{header: h}
	r := &Request{
		Attempt:     d.required(headerAttempt),
		ID:          d.required(headerRequest),
		Workspace:   d.required(headerWorkspace),
		KeyID:       d.required(headerKeyID),
		Class:       d.required(headerClass),
		Priority:    int(d.number(headerPriority)),
		Repeatable:  d.boolean(headerRepeatable),
		Model:       d.text(headerModel),
		Adapter:     d.text(headerAdapter),
		Service:     d.text(headerService),
		Path:        d.required(headerPath),
		Call:        d.text(headerCall),
		Fingerprint: d.bytes(headerFingerprint),
		ContentType: h.Get("Content-Type"),
		Timeout:     time.Duration(d.number(headerLeft)) * time.Millisecond,
		Tokens:      d.number(headerTokens),
		Weight:      d.number(headerWeight),
		Exclusive:   d.boolean(headerAlone),
	}
	if d.err == nil && (r.Model == "") == (r.Service == "") {
		d.err = fault.New(fault.InvalidRequest, "exactly one of the headers %s and %s must be set", headerModel, headerService)
	}
	if d.err != nil {
		return nil, d.err
	}
	return r, nil
}

// decoder decodes header values and keeps the first error.
type decoder struct {
	header http.Header
	err    error
}

func (d *decoder) text(name string) string {
	value, err := url.QueryUnescape(d.header.Get(name))
	if err != nil {
		d.fail(name, "is not valid query-escaped text")
	}
	return value
}

func (d *decoder) required(name string) string {
	value := d.text(name)
	if value == "" {
		d.fail(name, "is missing")
	}
	return value
}

func (d *decoder) number(name string) int64 {
	value, err := strconv.ParseInt(d.header.Get(name), 10, 64)
	if err != nil {
		d.fail(name, "is not a 64-bit decimal integer")
	}
	return value
}

func (d *decoder) boolean(name string) bool {
	value, err := strconv.ParseBool(d.header.Get(name))
	if err != nil {
		d.fail(name, "is not a boolean")
	}
	return value
}

func (d *decoder) bytes(name string) []byte {
	value, err := hex.DecodeString(d.header.Get(name))
	if err != nil {
		d.fail(name, "is not hexadecimal")
	}
	return value
}

func (d *decoder) fail(name, problem string) {
	if d.err == nil {
		d.err = fault.New(fault.InvalidRequest, "header %s %s", name, problem)
	}
}
