package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// replica is a stand-in model replica, as PROTOCOL.md describes it: it holds models, carries out orders and streams events.
type replica struct {
	service, address string
	record           *record
	memoryMb         float64
	weights          map[string]float64 // of every model, in MB
	loadTime         time.Duration
	events           int
	pause            time.Duration // between events

	mu      sync.Mutex
	server  *http.Server // nil: it is down
	id      string
	born    int64
	starts  int
	seq     uint64
	fence   uint64
	busy    bool
	held    map[string]bool
	onDisk  map[string]bool
	loading string
	runs    map[string]bool // requests that run
	crashes int

	draining bool
	shownAt  time.Time // when the list has first shown it as draining
	late     int       // requests that reached it later than drainLimit after that
}

// drainLimit is DrainMs.
const drainLimit = 3 * time.Second

// downTime is how long a replica that has crashed stays away.
const downTime = 3 * time.Second

func newReplica(service, address string, r *record) *replica {
	return &replica{service: service, address: address, record: r, onDisk: map[string]bool{}}
}

// start starts a lifetime of the replica, which holds some models.
func (p *replica) start(models ...string) error {
	l, err := net.Listen("tcp4", p.address)
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.starts++
	p.id, p.born = fmt.Sprintf("i-%s-%d", p.address, p.starts), time.Now().UnixMilli()
	p.seq, p.fence, p.busy, p.loading = 0, 0, false, ""
	p.held, p.runs = map[string]bool{}, map[string]bool{}
	for _, m := range models {
		p.held[m], p.onDisk[m] = true, true
	}
	p.server = &http.Server{Handler: http.HandlerFunc(p.serve)}
	go func(s *http.Server) { _ = s.Serve(l) }(p.server)
	p.record.add("replica %s starts with %v", p.id, models)
	return nil
}

// crash ends the lifetime: all connections end, and another one starts empty.
func (p *replica) crash(why string) {
	p.mu.Lock()
	s := p.server
	p.server = nil
	p.crashes++
	p.record.add("replica %s crashes with %d requests running: %s", p.id, len(p.runs), why)
	p.mu.Unlock()
	_ = s.Close()
	time.AfterFunc(downTime, func() { _ = p.start() })
}

// stop ends the replica for good.
func (p *replica) stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.server != nil {
		p.record.add("replica %s ends with %d requests running", p.id, len(p.runs))
		_ = p.server.Close()
		p.server = nil
	}
}

func (p *replica) serve(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/health":
		p.health(w)
	case "/report":
		p.report(w)
	case "/order":
		p.order(w, r)
	default:
		p.run(w, r)
	}
}

func (p *replica) health(w http.ResponseWriter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.draining {
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Instance", p.id)
}

// drain begins to show the replica as draining in the list. It serves on until stop.
func (p *replica) drain() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.draining = true
	p.record.add("replica %s is draining", p.id)
}

// noteShown records that the list has been read.
func (p *replica) noteShown() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.draining && p.shownAt.IsZero() {
		p.shownAt = time.Now()
		p.record.add("the list has shown replica %s as draining", p.id)
	}
}

// noteArrival counts a request that comes too late. The caller holds mu.
func (p *replica) noteArrival(id string) {
	if !p.shownAt.IsZero() && time.Since(p.shownAt) > drainLimit {
		p.late++
		p.record.add("request %s reaches replica %s %v after the list has shown it as draining", id, p.id, time.Since(p.shownAt))
	}
}

type object map[string]any

func (p *replica) report(w http.ResponseWriter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	disk := []string{}
	for m := range p.onDisk {
		disk = append(disk, m)
	}
	slices.Sort(disk)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(object{"Stage": "colocated", "State": "ready", "Models": p.models(), "Busy": p.busy, "Seq": p.seq, "Queued": 0,
		"InFlight": len(p.runs), "KvUsed": 100 * len(p.runs), "KvTotal": 120000, "Handles": 0, "born": p.born, "Runs": []any{}, "Coming": []string{},
		"AtHand": object{"InMemory": []string{}, "OnDisk": disk}})
}

// models returns the held models for a report. The caller holds mu.
func (p *replica) models() []object {
	out := []object{}
	for m := range p.held {
		out = append(out, object{"Name": m, "Version": 1, "Adapters": []string{}})
	}
	slices.SortFunc(out, func(a, b object) int { return compare(a["Name"].(string), b["Name"].(string)) })
	return out
}

func compare(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// entry is the replica's entry in the infrastructure's list; nil while it is down.
func (p *replica) entry() object {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.server == nil {
		return nil
	}
	state := "ready"
	if p.draining {
		state = "draining"
	}
	return object{"Id": p.id, "Service": p.service, "Address": p.address, "Zone": "zone-a", "Version": "v1", "Slots": 32, "State": state,
		"ColdRemainingMs": 0, "Stage": "colocated", "Models": p.models(), "born": p.born}
}

func (p *replica) usedMb() float64 {
	sum := p.weights[p.loading]
	for m := range p.held {
		sum += p.weights[m]
	}
	return sum
}

func (p *replica) order(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Operation, Model, Adapter, Holder string
		FencingToken                      uint64
		Precondition                      *uint64
	}
	err := json.NewDecoder(r.Body).Decode(&o)
	p.mu.Lock()
	status := http.StatusAccepted
	expected := r.Header.Get("Expect-Instance")
	switch {
	case expected != "" && expected != p.id:
		status = http.StatusMisdirectedRequest
	case err != nil || o.Holder == "" || o.FencingToken == 0 || o.Adapter != "" || p.weights[o.Model] == 0 || o.Operation != "model_load" && o.Operation != "model_unload":
		status = http.StatusBadRequest
	case o.FencingToken < p.fence:
		status = http.StatusPreconditionFailed
	case p.busy || o.Precondition != nil && *o.Precondition != p.seq:
		status = http.StatusConflict
	case p.held[o.Model] == (o.Operation == "model_load"):
		status = http.StatusOK
	}
	p.fence = max(p.fence, o.FencingToken)
	p.record.add("order to %s by %s: %s %s, answered %d; it holds %v", p.id, o.Holder, o.Operation, o.Model, status, p.models())
	if status != http.StatusAccepted {
		p.mu.Unlock()
		w.WriteHeader(status)
		return
	}
	p.seq++
	p.busy = true
	start := p.starts
	if o.Operation == "model_unload" {
		p.mu.Unlock()
		w.WriteHeader(status)
		go p.unload(o.Model, start)
		return
	}
	p.loading = o.Model
	used := p.usedMb()
	p.mu.Unlock()
	w.WriteHeader(status)
	if used > p.memoryMb {
		p.record.violation("LIMIT: %s ordered %s to load %s: %.0f MB of weights, WeightsMb is %.0f", o.Holder, p.address, o.Model, used, p.memoryMb)
		go func() {
			time.Sleep(20 * time.Millisecond) // the answer is sent
			p.crash("it was ordered to load more than its memory holds")
		}()
		return
	}
	time.AfterFunc(p.loadTime, func() { p.loaded(o.Model, start) })
}

func (p *replica) loaded(model string, start int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.starts != start || p.server == nil {
		return
	}
	p.held[model], p.onDisk[model] = true, true
	p.loading, p.busy = "", false
}

// unload drops a model, which no request uses by then.
func (p *replica) unload(model string, start int) {
	time.Sleep(100 * time.Millisecond)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.starts != start || p.server == nil {
		return
	}
	delete(p.held, model)
	p.busy = false
}

// run answers a request: a model's with a stream of events, another one with a short body.
func (p *replica) run(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	id, model, expected := r.Header.Get("Request-Id"), r.Header.Get("Model"), r.Header.Get("Expect-Instance")
	w.Header().Set("Request-Id", id)
	p.mu.Lock()
	own, start := p.id, p.starts
	if expected != "" && expected != own || model != "" && !p.held[model] {
		p.mu.Unlock()
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	p.runs[id] = true
	p.noteArrival(id)
	if p.draining {
		w.Header().Set("Connection", "close")
	}
	p.mu.Unlock()
	p.record.add("replica %s runs %s (%s)", own, id, model)
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.starts == start {
			delete(p.runs, id)
		}
	}()
	w.Header().Set("Server-Stamp", own)
	if model == "" {
		time.Sleep(p.pause)
		_, _ = io.WriteString(w, "answer to "+id)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Weight-Versions", "1")
	for i := 1; i <= p.events; i++ {
		fmt.Fprintf(w, "id: %d\ndata: %s-%d\n\n", i, id, i)
		w.(http.Flusher).Flush()
		select {
		case <-r.Context().Done():
			return
		case <-time.After(p.pause):
		}
	}
}
