package wire

import (
	"encoding/hex"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"cowsliptiller/coord/fault"
)

// RunPath is where an agent takes requests; ProbePath answers at once and
// proves that the connection is alive.
const (
	RunPath   = "/agent/v1/run"
	ProbePath = "/agent/v1/probe"
)

// PrefixBytes is how much of a body names its prefix, for the entry host's choice of
// a target and for the agent's order alike: some 250 tokens, enough to tell one
// instruction text from another and less than the shared texts that make a cache
// worth while. A shorter body has none, as little is saved there.
const PrefixBytes = 1 << 10

// Names of the headers that carry a Request. None of them holds a caller's key.
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

// Request is the head of one attempt; the caller's body follows as it came.
type Request struct {
	Attempt     string        // unique for each hand-over
	ID          string        // the caller's request, in every log line
	Workspace   string        // whose key came with the request
	KeyID       string        // public name of that key, checked again at hand-over
	Class       string        // class of call
	Priority    int           // 0 is the highest
	Repeatable  bool          // whether the call may run twice
	Model       string        // engines: the base model
	Adapter     string        // engines: the adapter on it, if any
	Service     string        // plain services: name
	Path        string        // path at the target, with a leading slash
	Call        string        // names a call for the target; empty for engines
	Fingerprint []byte        // digest of workspace, name and body
	ContentType string        // of the body
	Left        time.Duration // until the caller's deadline
	Tokens      int64         // prompt and the most it may generate
	Weight      int64         // the workspace's rate, for its share of the target
	Alone       bool          // run while nothing else runs: a neighbour of a crash
}

// WriteHeader sets the headers for r.
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
	h.Set(headerAlone, strconv.FormatBool(r.Alone))
	h.Set(headerLeft, strconv.FormatInt(r.Left.Milliseconds(), 10))
	h.Set(headerWeight, strconv.FormatInt(r.Weight, 10))
	h.Set(headerTokens, strconv.FormatInt(r.Tokens, 10))
	if r.ContentType != "" {
		h.Set("Content-Type", r.ContentType)
	}
}

// ReadHeader reads a Request strictly: a missing or malformed header is
// fault.InvalidRequest, and nothing has run.
func ReadHeader(h http.Header) (*Request, error) {
	d := decoder{header: h}
	r := &Request{
		Attempt:     d.required(headerAttempt),
		ID:          d.required(headerRequest),
		Workspace:   d.required(headerWorkspace),
		KeyID:       d.required(headerKeyID),
		Class:       d.required(headerClass),
		Priority:    int(d.number(headerPriority)),
		Repeatable:  d.flag(headerRepeatable),
		Model:       d.text(headerModel),
		Adapter:     d.text(headerAdapter),
		Service:     d.text(headerService),
		Path:        d.required(headerPath),
		Call:        d.text(headerCall),
		Fingerprint: d.bytes(headerFingerprint),
		ContentType: h.Get("Content-Type"),
		Left:        time.Duration(d.number(headerLeft)) * time.Millisecond,
		Tokens:      d.number(headerTokens),
		Weight:      d.number(headerWeight),
		Alone:       d.flag(headerAlone),
	}
	if d.err == nil && (r.Model == "") == (r.Service == "") {
		d.err = fault.New(fault.InvalidRequest, "exactly one of %s and %s is needed", headerModel, headerService)
	}
	if d.err != nil {
		return nil, d.err
	}
	return r, nil
}

// decoder reads headers and keeps the first error.
type decoder struct {
	header http.Header
	err    error
}

func (d *decoder) text(name string) string {
	value, err := url.QueryUnescape(d.header.Get(name))
	if err != nil {
		d.fail(name, "is not escaped text")
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
		d.fail(name, "is not a number")
	}
	return value
}

func (d *decoder) flag(name string) bool {
	value, err := strconv.ParseBool(d.header.Get(name))
	if err != nil {
		d.fail(name, "is neither true nor false")
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

func (d *decoder) fail(name, complaint string) {
	if d.err == nil {
		d.err = fault.New(fault.InvalidRequest, "header %s %s", name, complaint)
	}
}
