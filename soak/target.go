package soak

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"cowsliptiller/platform"
	"cowsliptiller/platform/platformtest"
)

// Run is one execution of a request by a target.
type Run struct {
	Request, Target, Workspace, Key string
	LastEvent                       string // after which it continues a stream; empty: it does not
	At, Ended                       time.Time
}

// String names the run's target and span.
func (r *Run) String() string {
	return fmt.Sprintf("%s after event %q at %s from %s to %s", r.Request, r.LastEvent, r.Target, r.At.Format(clockFormat), r.Ended.Format(clockFormat))
}

// clockFormat is the format of times in violations.
const clockFormat = "05.000"

// target simulates a platform target: it holds models, executes orders and requests, and
// can fail requests in a selected way.
type target struct {
	service, address string
	domain           string // failure domain
	version          string // of its software
	history          *history
	proxy            *proxy  // in front of it
	usualPercent     float64 // processing time outside of bursts, in percent of the usual one

	running   atomic.Int64 // requests
	announced atomic.Int64 // loads

	mu          sync.Mutex
	id          string
	starts      int
	seq         uint64
	models      map[string]bool
	down        bool
	failureMode string        // how requests fail: "" (they succeed), refuse, reset, hang or break
	limit       *announcement // nil: no rate limit is announced
	notice      notice
	ids         []string      // of all its starts
	nextVersion string        // of its software from the next start on; empty: the same
	interval    time.Duration // between events; 0: eventInterval
	places      int           // for requests at once; 0: no limit
	resumed     chan struct{} // closed when the target is not suspended any more; nil: it is not suspended
	suspensions []linkSpan
}

// Simulated work, kept short so that a run executes thousands of requests.
const (
	plainDelay    = 10 * time.Millisecond
	eventInterval = 8 * time.Millisecond
	streamEvents  = 12
	targetSlots   = 16
)

func (t *target) serve(l net.Listener) {
	server := &http.Server{Handler: t}
	go func() { _ = server.Serve(l) }()
}

func (t *target) restart(down bool) {
	t.endLimit()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.down = down
	if !down {
		t.starts++
		t.id = fmt.Sprintf("i-%s-%d", t.address, t.starts)
		t.ids = append(t.ids, t.id)
		t.seq, t.models = 0, map[string]bool{}
		t.version = cmp.Or(t.nextVersion, t.version)
	}
}

// owned reports whether an instance id is that of one of the target's starts.
func (t *target) owned(instance string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Contains(t.ids, instance)
}

func (t *target) setFailureMode(mode string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.failureMode = mode
}

// ownPaths are the paths that the target serves itself; all others are requests.
var ownPaths = []string{"/health", "/report", "/order", platform.ReservationPath}

func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	t.mu.Lock()
	down, id, mode := t.down, t.id, t.failureMode
	t.mu.Unlock()
	if down {
		panic(http.ErrAbortHandler)
	}
	if slices.Contains(ownPaths, r.URL.Path) {
		t.awaitResumed()
	}
	switch r.URL.Path {
	case platform.ReservationPath:
		t.handleReservation(w, mode)
	case platform.ReleasePath(reservationID):
	case "/health":
		w.Header().Set(platform.HeaderAnsweredBy, id)
	case "/report":
		t.handleReport(w)
	case "/order":
		t.handleOrder(w, r)
	default:
		t.handleRequest(w, r, id, mode)
	}
}

func (t *target) handleReport(w io.Writer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := platformtest.Report{Orders: t.seq, Models: map[string][]string{}}
	for m := range t.models {
		r.Models[m] = nil
	}
	_ = r.Write(w) // fails if the agent has disconnected
}

func (t *target) handleOrder(w http.ResponseWriter, r *http.Request) {
	o, err := platformtest.ReadOrder(r.Body)
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case err != nil || o.Holder == "" || o.Fencing == 0:
		w.WriteHeader(http.StatusBadRequest)
		return
	case r.Header.Get(platform.HeaderExpectInstance) != t.id:
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case o.ExpectedSequence != t.seq:
		w.WriteHeader(http.StatusConflict)
		return
	}
	t.seq++
	if o.Load {
		t.models[o.Model] = true
	} else {
		delete(t.models, o.Model)
	}
	if len(t.models) > modelCapacity {
		t.history.addFailure("target %s was ordered to hold %d models, but only %d fit", t.address, len(t.models), modelCapacity)
	}
	w.WriteHeader(http.StatusAccepted)
}

// reservationID is the id of all reservations.
const reservationID = "place"

// handleReservation reserves a place, which this target does not count.
func (t *target) handleReservation(w http.ResponseWriter, mode string) {
	if mode == "refuse" {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	_, _ = fmt.Fprintf(w, "{%q:%q}", platform.HeaderReservation, reservationID) // fails if the host has disconnected
}

func (t *target) holds(model string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return model == "" || t.models[model]
}

func (t *target) handleRequest(w http.ResponseWriter, r *http.Request, id, mode string) {
	request := r.Header.Get(platform.HeaderRequestID)
	body, _ := io.ReadAll(r.Body) // what the client did not send is missing
	t.awaitResumed()
	if r.Context().Err() != nil {
		t.history.recordWithdrawn(request, t.address)
		return // its connection was closed before the target began to work on it
	}
	w.Header().Set(platform.HeaderRequestID, request)
	t.history.recordArrival(id, request)
	t.setLimitHeader(w.Header())
	if t.writeNotice(w, id, request) {
		return
	}
	switch {
	case r.Header.Get(platform.HeaderExpectInstance) != id || !t.holds(r.Header.Get(platform.HeaderModel)):
		w.Header().Set(platform.HeaderAnsweredBy, id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case mode == "refuse" || t.isFull():
		w.Header().Set(platform.HeaderNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer t.history.recordRun(&Run{
		Request: request, Target: t.address, Workspace: r.Header.Get(platform.HeaderWorkspace), Key: r.Header.Get("Authorization"),
		LastEvent: r.Header.Get(platform.HeaderLastEvent), At: time.Now(),
	})()
	if t.runBad(string(body)) {
		panic(http.ErrAbortHandler)
	}
	switch mode {
	case "reset":
		panic(http.ErrAbortHandler)
	case "hang":
		<-r.Context().Done()
		return
	}
	w.Header().Set(platform.HeaderStamp, id)
	t.running.Add(1)
	defer t.running.Add(-1)
	if kind := r.Header.Get(headerFlood); kind != "" {
		t.flood(w, kind)
		return
	}
	t.announceLoad(w.Header())
	if endsWithConnection(request) {
		w.Header().Set("Transfer-Encoding", "identity") // net/http then sends neither a length nor chunks
	}
	if r.Header.Get(platform.HeaderModel) == "" {
		<-time.After(t.work(plainDelay))
		t.awaitResumed()
		_, _ = io.WriteString(w, "answer to "+request)
		return
	}
	t.stream(w, r, request, mode)
}

// isFull reports whether all places of the target are taken.
func (t *target) isFull() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.places > 0 && t.running.Load() >= int64(t.places)
}

// endsWithConnection reports whether the answer to a request has neither a length nor chunks.
func endsWithConnection(request string) bool {
	h := fnv.New32a()
	_, _ = h.Write([]byte(request))
	return h.Sum32()%3 == 0
}

// stream writes a stream of events. With mode "break" it ends inside an event; with "mute" it sends no
// further event, and runs until it is canceled.
func (t *target) stream(w http.ResponseWriter, r *http.Request, request, mode string) {
	first := 1
	if last := r.Header.Get(platform.HeaderLastEvent); last != "" {
		_, _ = fmt.Sscan(last, &first)
		first++
	}
	padding, _ := strconv.Atoi(r.Header.Get(headerPadding)) // 0 if it is absent
	t.mu.Lock()
	interval, version := cmp.Or(t.interval, eventInterval), t.version
	t.mu.Unlock()
	for i := first; i <= streamEvents; i++ {
		if mode == "mute" && i == first+4 {
			<-r.Context().Done()
			return
		}
		if mode == "break" && i == first+4 {
			_, _ = fmt.Fprintf(w, "id: %d\nda", i)
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s %d of %d by %s%s\n\n", i, request, i, streamEvents, version, strings.Repeat("-", padding))
		w.(http.Flusher).Flush()
		select {
		case <-r.Context().Done():
			return
		case <-time.After(t.work(interval)):
		}
		t.awaitResumed()
	}
}
