package soak

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// The invariants checked at any time and under any fault:
//
//   - a non-idempotent request runs at most once;
//   - a request rejected as not run has not run and never does;
//   - a response that arrives complete is a target's complete response to this request;
//   - a stream has each event once, in order, and ends only after the last one;
//   - a stream has events of one software version, also if its caller resumes it;
//   - a stream does not run at a target for longer than overlapLimit after another one has continued it (see
//     overlap.go);
//   - a request runs for its key's workspace, and no target receives a key;
//   - a read of the deployment is never older than the version acknowledged before it;
//   - an acknowledged deployment is still there at the end;
//   - a revoked key runs no request sent more than revocationLimit after its revocation
//     was acknowledged;
//   - a target runs nothing later than evacuationLimit after its failure domain's evacuation was
//     acknowledged, until its end is requested;
//   - a target that announces a rate limit gets no more than that from hosts that have passed on
//     such an answer;
//   - a request that ends its targets is refused from crashNotice after the third one on, and no
//     other request is refused as such;
//   - a target that requests a backoff of an entry host, or announces to it that it leaves, gets
//     nothing from it;
//   - no process ends by itself;
//   - a change is acknowledged while the disk of one control host is full;
//   - after a full disk has room again, and after the faults, each control host has a running member
//     without a restart of its process (memberReturnTimeout, recoveryTimeout);
//   - no target is ordered to hold more models than fit;
//   - a process exits within stopTimeout of SIGTERM.

// history records the requests sent and the runs seen by targets, and the violations found
// meanwhile.
type history struct {
	flooded atomic.Int64 // bytes of endless responses

	mu       sync.Mutex
	runs     map[string][]*Run
	sent     map[string]*sentRequest
	failures []string

	evacuations []evacuation
	counts      map[int]int

	limits     []announcement
	arrivals   map[string][]arrival // by instance
	limitsSeen map[int]limitsSeen   // by index of the entry host

	crashes     []crash
	ends        map[string][]time.Time // of targets, by the content keys that ran there
	backoffs    []backoff
	leavingSeen map[string]time.Time // first, by index of the entry host and instance
	resumes     resumes
	slow        slowReads
	overlaps    overlaps
	withdrawn   map[string]string // target by request
}

// sentRequest is one request of a client and its response.
type sentRequest struct {
	id, path, workspace string
	entry               int // index of the entry host that it was sent to
	key                 string
	idempotent          bool
	stream              bool
	sentAt              time.Time
	endedAt             time.Time     // of the response
	waitLimit           time.Duration // after which the client leaves
	status              int           // 0 if there was no response
	stamped             bool
	body                string
	complete            bool
	content             string // of the request
	model               string // empty: none
	began               string // request that the stream began with; empty: this one
	after               int    // number of the last event that the client has
	resumable           bool
	padding             int // bytes that each event is longer; above 0 the caller reads slowly
}

func newHistory() *history {
	return &history{
		runs: map[string][]*Run{}, sent: map[string]*sentRequest{}, counts: map[int]int{},
		arrivals: map[string][]arrival{}, limitsSeen: map[int]limitsSeen{}, leavingSeen: map[string]time.Time{}, withdrawn: map[string]string{}, ends: map[string][]time.Time{},
	}
}

func (h *history) addFailure(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.failures = append(h.failures, fmt.Sprintf(format, args...))
}

// recordedFailures returns the violations found so far, without those that check finds.
func (h *history) recordedFailures() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.failures)
}

// recordRun records a run that begins, and returns the function that records its end.
func (h *history) recordRun(r *Run) (end func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.runs[r.Request] = append(h.runs[r.Request], r)
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		r.Ended = time.Now()
	}
}

func (h *history) recordSent(s *sentRequest) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sent[s.id] = s
}

func (h *history) recordStatus(s *sentRequest) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s.endedAt = time.Now()
	h.counts[s.status]++
}

// notRunStatuses are the statuses by which the server states that a request has not run
// and never will.
var notRunStatuses = map[int]bool{
	http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true,
	http.StatusRequestTimeout: true, http.StatusMisdirectedRequest: true,
}

// check checks the recorded requests and runs, and returns all violations.
func (h *history) check() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	for id, runs := range h.runs {
		s := h.sent[id]
		if s == nil {
			h.failures = append(h.failures, fmt.Sprintf("request %q ran, but no client sent it", id))
			continue
		}
		h.checkRuns(s, runs)
	}
	for _, s := range h.sent {
		h.checkResponse(s)
	}
	h.checkWithdrawn()
	return h.failures
}

func (h *history) checkRuns(s *sentRequest, runs []*Run) {
	if !s.idempotent && len(runs) > 1 {
		h.failures = append(h.failures, fmt.Sprintf("%s %s ran %d times: %v", s.path, s.id, len(runs), runs))
	}
	if !s.idempotent && notRunStatuses[s.status] && !s.stamped {
		h.failures = append(h.failures, fmt.Sprintf("%s %s was rejected as not run with status %d, but ran: %v", s.path, s.id, s.status, runs))
	}
	for _, r := range runs {
		if r.Workspace != s.workspace || r.Key != "" {
			h.failures = append(h.failures, fmt.Sprintf("%s ran for workspace %q with key %q at the target, want workspace %q and no key", s.id, r.Workspace, r.Key, s.workspace))
		}
	}
}

func (h *history) checkResponse(s *sentRequest) {
	if s.status != http.StatusOK || !s.complete {
		return
	}
	want := "answer to " + s.id
	if s.stream {
		want = s.restOfStream()
	}
	if s.body != want || !s.stamped {
		h.failures = append(h.failures, fmt.Sprintf("%s %s: the response is complete, but is %q (stamped: %v)", s.path, s.id, s.body, s.stamped))
	}
}

// checkRevokedKey checks that a revoked key ran no request sent after revocationLimit.
func (f *fleet) checkRevokedKey(o *operator) {
	if o.revokedAt.IsZero() {
		return
	}
	f.history.mu.Lock()
	defer f.history.mu.Unlock()
	for id, runs := range f.history.runs {
		if s := f.history.sent[id]; s != nil && s.key == "key-2" && s.sentAt.After(o.revokedAt.Add(revocationLimit)) {
			f.history.failures = append(f.history.failures, fmt.Sprintf("%s was sent %v after its key was revoked, and ran: %v", id, s.sentAt.Sub(o.revokedAt), runs))
		}
	}
}

func (h *history) okResponses() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.counts[http.StatusOK]
}
