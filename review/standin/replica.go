package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// replica is a stand-in of a replica: it keeps to the users' page on the wire.
type replica struct {
	id, lateURL  string
	capacity     float64 // MB for weights
	modelMb      float64
	slots        int
	events       int           // of a stream
	gap          time.Duration // between two events
	unframed     int           // each such stream has neither a length nor chunks, and ends with its channel; 0: none
	work         time.Duration // of a plain request
	loads        [3]time.Duration
	lateSequence int // the first load of a model with this precondition is carried out late; negative: none
	born         int64

	mu        sync.Mutex
	out       *os.File
	models    []string
	loading   string
	busy      bool
	sequence  int
	fence     int64
	memory    []string
	disk      []string
	running   map[string]int // by model
	draining  time.Time      // when it is gone; zero: it does not leave
	lateTaken bool
	streams   int // begun
}

func runReplica(arguments []string) {
	r := &replica{born: time.Now().UnixMilli(), running: map[string]int{}}
	flags := flag.NewFlagSet("replica", flag.ExitOnError)
	listen := flags.String("listen", "", "address")
	flags.StringVar(&r.id, "id", "", "id")
	out := flags.String("out", "", "file for what it runs")
	models := flags.String("models", "", "models that it holds at its start")
	disk := flags.String("disk", "", "models of which it has a copy on its disk")
	flags.Float64Var(&r.capacity, "capacity", 220000, "MB for weights")
	flags.Float64Var(&r.modelMb, "model-mb", modelMb, "MB of each model")
	flags.IntVar(&r.slots, "slots", 64, "slots")
	flags.IntVar(&r.events, "events", 48, "events of a stream")
	flags.DurationVar(&r.gap, "gap", 50*time.Millisecond, "pause between two events")
	flags.IntVar(&r.unframed, "unframed", 0, "each such stream ends with its channel")
	flags.DurationVar(&r.work, "work", 30*time.Millisecond, "work of a plain request")
	flags.IntVar(&r.lateSequence, "late-sequence", -1, "precondition of the load that is carried out late")
	flags.StringVar(&r.lateURL, "late-url", "", "where an order goes that is carried out late")
	_ = flags.Parse(arguments)
	r.loads = [3]time.Duration{400 * time.Millisecond, 840 * time.Millisecond, 6 * time.Second}
	r.models, r.disk = words(*models), words(*disk)
	for _, m := range r.models {
		r.copyOf(m)
	}
	file, err := os.OpenFile(*out, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		panic(err)
	}
	r.out = file
	l, err := net.Listen("tcp4", *listen)
	if err != nil {
		panic(err)
	}
	r.note("start", "holds %v", r.models)
	panic(http.Serve(l, r))
}

func words(text string) []string {
	return strings.FieldsFunc(text, func(c rune) bool { return c == ',' })
}

// note appends a line to what the replica has done.
func (r *replica) note(what, format string, args ...any) {
	_, _ = fmt.Fprintf(r.out, "%d %s %s %s\n", time.Now().UnixMilli(), r.id, what, fmt.Sprintf(format, args...))
}

func (r *replica) copyOf(model string) {
	if !slices.Contains(r.memory, model) {
		r.memory = append(r.memory, model)
	}
	if !slices.Contains(r.disk, model) {
		r.disk = append(r.disk, model)
	}
}

func (r *replica) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	switch q.URL.Path {
	case "/health":
		r.health(w)
	case "/report":
		r.report(w)
	case "/order":
		r.order(w, q)
	case "/_leave": // of the case itself: the replica is to leave
		ms, _ := strconv.Atoi(q.FormValue("ms"))
		r.mu.Lock()
		r.draining = time.Now().Add(time.Duration(ms) * time.Millisecond)
		r.mu.Unlock()
	default:
		r.request(w, q)
	}
}

func (r *replica) health(w http.ResponseWriter) {
	r.mu.Lock()
	leaving := !r.draining.IsZero()
	r.mu.Unlock()
	w.Header().Set("Instance", r.id)
	r.load(w.Header())
	if leaving {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (r *replica) load(h http.Header) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h.Set("Server-Load", fmt.Sprintf("%d,0,%d", r.runs(), r.slots))
}

func (r *replica) runs() int {
	n := 0
	for _, k := range r.running {
		n += k
	}
	return n
}

func (r *replica) report(w http.ResponseWriter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	models := []heldModel{}
	for _, m := range r.models {
		models = append(models, heldModel{m, 1, []string{}})
	}
	body := map[string]any{
		"Stage": "colocated", "State": "ready", "Models": models, "Busy": r.busy, "Seq": r.sequence, "Queued": 0, "InFlight": r.runs(),
		"KvUsed": 0, "KvTotal": 155779, "Handles": 0, "Pinned": 0, "held": 0, "Coming": []string{}, "Runs": [][]any{}, "born": r.born,
		"AtHand": map[string]any{"InMemory": r.memory, "OnDisk": r.disk},
	}
	if !r.draining.IsZero() {
		body["State"], body["RemainingMs"] = "draining", max(0, time.Until(r.draining).Milliseconds())
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

// orderBody is the body of an order.
type orderBody struct {
	Operation, Model, Adapter, Holder string
	FencingToken                      *int64
	Precondition                      *int
}

// lateOrder is an order that is on its way for seconds.
type lateOrder struct {
	Instance string
	Body     []byte
}

func (r *replica) order(w http.ResponseWriter, q *http.Request) {
	text, _ := io.ReadAll(q.Body)
	var o orderBody
	if err := json.Unmarshal(text, &o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.isLate(o) {
		r.note("late", "%s", text)
		late, _ := json.Marshal(lateOrder{q.Header.Get("Expect-Instance"), text})
		if resp, err := http.Post(r.lateURL, "application/json", strings.NewReader(string(late))); err == nil {
			resp.Body.Close()
		}
		<-q.Context().Done() // it is left unanswered
		return
	}
	status := r.take(o, q.Header.Get("Expect-Instance"))
	r.note("order", "%d %s", status, text)
	w.WriteHeader(status)
}

func (r *replica) isLate(o orderBody) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lateTaken || o.Operation != "model_load" || o.Precondition == nil || *o.Precondition != r.lateSequence {
		return false
	}
	r.lateTaken = true
	return true
}

// take takes an order and returns its status.
func (r *replica) take(o orderBody, expected string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	holds := slices.Contains(r.models, o.Model)
	switch {
	case expected != "" && expected != r.id:
		return http.StatusMisdirectedRequest
	case o.Holder == "" || o.FencingToken == nil || o.Adapter != "":
		return http.StatusBadRequest
	case *o.FencingToken < r.fence:
		return http.StatusPreconditionFailed
	case o.Precondition != nil && *o.Precondition != r.sequence:
		return http.StatusConflict
	case r.busy:
		return http.StatusConflict
	case o.Operation == "model_load" && holds || o.Operation == "model_unload" && !holds:
		return http.StatusOK
	}
	r.fence = *o.FencingToken
	r.sequence++
	r.busy = true
	if o.Operation == "model_unload" {
		go r.unload(o.Model)
		return http.StatusAccepted
	}
	if ordered := float64(len(r.models)+1) * r.modelMb; ordered > r.capacity {
		r.note("CRASH", "ordered to load %s beside %v: %.0f MB, %.0f fit", o.Model, r.models, ordered, r.capacity)
		os.Exit(3)
	}
	go r.finishLoad(o.Model)
	return http.StatusAccepted
}

func (r *replica) finishLoad(model string) {
	r.mu.Lock()
	took := r.loads[2]
	switch {
	case slices.Contains(r.memory, model):
		took = r.loads[0]
	case slices.Contains(r.disk, model):
		took = r.loads[1]
	}
	r.mu.Unlock()
	time.Sleep(took)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.models = append(r.models, model)
	r.copyOf(model)
	r.busy = false
	r.note("loaded", "%s in %v, now %v", model, took, r.models)
}

func (r *replica) unload(model string) {
	for {
		r.mu.Lock()
		if r.running[model] == 0 {
			r.models = slices.DeleteFunc(r.models, func(m string) bool { return m == model })
			r.busy = false
			r.note("unloaded", "%s, now %v", model, r.models)
			r.mu.Unlock()
			return
		}
		r.mu.Unlock()
		time.Sleep(5 * time.Millisecond)
	}
}

// request runs a request, or refuses it.
func (r *replica) request(w http.ResponseWriter, q *http.Request) {
	_, _ = io.Copy(io.Discard, q.Body)
	id, model := q.Header.Get("Request-Id"), q.Header.Get("Model")
	h := w.Header()
	h.Set("Request-Id", id)
	r.load(h)
	if status := r.begin(q, model); status != 0 {
		r.note("refused", "%s %d", id, status)
		h.Set("Not-Run", "1")
		h.Set("Instance", r.id)
		w.WriteHeader(status)
		return
	}
	defer r.end(model)
	r.note("run", "%s %s %s", id, q.Method, q.URL.Path)
	if model == "" {
		select {
		case <-time.After(r.work):
		case <-q.Context().Done():
			r.note("left", "%s", id)
			return
		}
		h.Set("Server-Stamp", "stamp-"+id)
		_, _ = io.WriteString(w, "answer to "+id)
		r.note("done", "%s", id)
		return
	}
	r.stream(w, q, id)
}

func (r *replica) begin(q *http.Request, model string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	expected := q.Header.Get("Expect-Instance")
	switch {
	case expected != "" && expected != r.id, model != "" && !slices.Contains(r.models, model):
		return http.StatusMisdirectedRequest
	case r.runs() >= r.slots:
		return http.StatusServiceUnavailable
	}
	r.running[model]++
	return 0
}

func (r *replica) end(model string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running[model]--
}

// endsWithChannel reports whether the next stream has neither a length nor chunks.
func (r *replica) endsWithChannel() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.streams++
	return r.unframed > 0 && r.streams%r.unframed == 0
}

// stream sends the events after Last-Event-Id. The last event says that it is the last.
func (r *replica) stream(w http.ResponseWriter, q *http.Request, id string) {
	first := 1
	if last, err := strconv.Atoi(q.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	h := w.Header()
	h.Set("Server-Stamp", "stamp-"+id)
	h.Set("Content-Type", "text/event-stream")
	h.Set("Weight-Versions", "1")
	send := func(text string) { _, _ = io.WriteString(w, text); w.(http.Flusher).Flush() }
	if r.endsWithChannel() {
		r.note("unframed", "%s", id)
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			panic(err)
		}
		defer conn.Close()
		h.Set("Connection", "close")
		var head strings.Builder
		_ = h.Write(&head)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+head.String()+"\r\n")
		send = func(text string) { _, _ = io.WriteString(conn, text) }
	}
	for i := first; i <= r.events; i++ {
		send(fmt.Sprintf("id: %d\ndata: %s event %d of %d\n\n", i, id, i, r.events))
		if i == r.events {
			break
		}
		select {
		case <-time.After(r.gap):
		case <-q.Context().Done():
			r.note("left", "%s after event %d", id, i)
			return
		}
	}
	r.note("done", "%s", id)
}
