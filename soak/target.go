package soak

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"cowsliptiller/platform"
	"cowsliptiller/platform/platformtest"
)

// Run is one run of a request at a target.
type Run struct {
	Request, Target, Workspace, Key string
	At                              time.Time
}

// target is a stand-in for a platform's target: it holds models, takes orders and
// runs requests, and does them harm when told.
type target struct {
	service, address string
	journal          *journal

	mu     sync.Mutex
	id     string
	starts int
	seq    uint64
	models map[string]bool
	down   bool
	mood   string // what it does to requests: "", refuse, reset, hang, break
}

// The work of a stand-in: short, so that a run sees thousands of requests.
const (
	plainWork  = 10 * time.Millisecond
	eventPause = 8 * time.Millisecond
	events     = 12
)

func (t *target) serve(l net.Listener) {
	server := &http.Server{Handler: t}
	go func() { _ = server.Serve(l) }()
}

func (t *target) restart(down bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.down = down
	if !down {
		t.starts++
		t.id = fmt.Sprintf("i-%s-%d", t.address, t.starts)
		t.seq, t.models = 0, map[string]bool{}
	}
}

func (t *target) set(mood string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.mood = mood
}

// ServeHTTP implements http.Handler.
func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	t.mu.Lock()
	down, id, mood := t.down, t.id, t.mood
	t.mu.Unlock()
	if down {
		panic(http.ErrAbortHandler)
	}
	switch r.URL.Path {
	case "/health":
		w.Header().Set(platform.HeaderAnsweredBy, id)
	case "/report":
		t.report(w)
	case "/order":
		t.order(w, r)
	default:
		t.run(w, r, id, mood)
	}
}

func (t *target) report(w io.Writer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := platformtest.Report{Orders: t.seq, Models: map[string][]string{}}
	for m := range t.models {
		r.Models[m] = nil
	}
	_ = r.Write(w) // an agent that has gone does not read it
}

func (t *target) order(w http.ResponseWriter, r *http.Request) {
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
	if len(t.models) > modelsFit {
		t.journal.fail("target %s was ordered to hold %d models, %d fit", t.address, len(t.models), modelsFit)
	}
	w.WriteHeader(http.StatusAccepted)
}

func (t *target) holds(model string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return model == "" || t.models[model]
}

func (t *target) run(w http.ResponseWriter, r *http.Request, id, mood string) {
	request := r.Header.Get(platform.HeaderRequestID)
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set(platform.HeaderRequestID, request)
	switch {
	case r.Header.Get(platform.HeaderExpectInstance) != id || !t.holds(r.Header.Get(platform.HeaderModel)):
		w.Header().Set(platform.HeaderAnsweredBy, id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case mood == "refuse":
		w.Header().Set(platform.HeaderNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	t.journal.ran(Run{request, t.address, r.Header.Get(platform.HeaderWorkspace), r.Header.Get("Authorization"), time.Now()})
	switch mood {
	case "reset":
		panic(http.ErrAbortHandler)
	case "hang":
		<-r.Context().Done()
		return
	}
	w.Header().Set(platform.HeaderStamp, id)
	if r.Header.Get(platform.HeaderModel) == "" {
		<-time.After(plainWork)
		_, _ = io.WriteString(w, "answer to "+request)
		return
	}
	t.stream(w, r, request, mood == "break")
}

func (t *target) stream(w http.ResponseWriter, r *http.Request, request string, breaks bool) {
	first := 1
	if last := r.Header.Get(platform.HeaderLastEvent); last != "" {
		_, _ = fmt.Sscan(last, &first)
		first++
	}
	for i := first; i <= events; i++ {
		if breaks && i == first+4 {
			_, _ = fmt.Fprintf(w, "id: %d\nda", i)
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s %d of %d\n\n", i, request, i, events)
		w.(http.Flusher).Flush()
		select {
		case <-r.Context().Done():
			return
		case <-time.After(eventPause):
		}
	}
}
