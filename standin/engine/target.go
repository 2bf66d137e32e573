package engine

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const maxBodyBytes = 16 << 20

// Target is a stand-in target. It serves both the API of a model engine and that of a
// plain service; the request path selects which.
type Target struct {
	cfg     Config
	mem     *memory
	record  *executionLog
	running atomic.Int64

	mu              sync.Mutex
	faults          Faults
	downUntil       time.Time
	lifetime        context.Context // canceled by a crash
	endLifetime     context.CancelFunc
	reportedRunning int64
	reportedAt      time.Time
	bursts          *bursts
}

// New returns a target without faults and without loaded models.
func New(cfg Config) *Target {
	cfg = cfg.withDefaults()
	t := &Target{cfg: cfg, mem: newMemory(cfg.MemoryBytes, cfg.ChecksFencing), record: newExecutionLog(), bursts: newBursts(cfg.Speed, cfg.Now())}
	t.lifetime, t.endLifetime = context.WithCancel(context.Background())
	return t
}

// Handler returns the target's HTTP handler.
func (t *Target) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", t.completions)
	mux.HandleFunc("POST /v1/chat/completions", t.completions)
	mux.HandleFunc("POST /admin/load", t.load)
	mux.HandleFunc("POST /admin/unload", t.unload)
	mux.HandleFunc("POST /admin/adapters/load", t.loadAdapter)
	mux.HandleFunc("POST /admin/adapters/unload", t.unloadAdapter)
	mux.HandleFunc("GET /admin/status", t.status)
	mux.HandleFunc("POST /", t.serveCall)
	outer := http.NewServeMux()
	outer.HandleFunc("GET /record", t.serveRecord)
	outer.HandleFunc("POST /faults", t.handleFaults)
	outer.HandleFunc("POST /crash", func(http.ResponseWriter, *http.Request) { t.Crash() })
	outer.Handle("/", t.rejectWhileDown(mux))
	return outer
}

// SetFaults replaces the set of injected faults.
func (t *Target) SetFaults(f Faults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = f
}

// Executions returns the requests executed so far, also those before a crash.
func (t *Target) Executions() []Execution {
	return t.record.list()
}

// PeakMemoryBytes returns the highest memory use so far, in bytes.
func (t *Target) PeakMemoryBytes() int64 {
	_, _, peak, _ := t.mem.list()
	return peak
}

// Crash simulates a crash: it drops all loaded models, ends all running requests and
// loads, and aborts new requests for Config.RestartTime.
func (t *Target) Crash() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.downUntil = t.cfg.Now().Add(t.cfg.RestartTime)
	t.endLifetime()
	t.lifetime, t.endLifetime = context.WithCancel(context.Background())
	t.mem.clear()
}

// state returns the faults, whether the target is down, and the context that the next
// crash cancels.
func (t *Target) state() (Faults, bool, context.Context) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.faults, t.cfg.Now().Before(t.downUntil), t.lifetime
}

// rejectWhileDown aborts every connection while the target is down, and gives each
// request a context that a crash cancels.
func (t *Target) rejectWhileDown(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		faults, down, lifetime := t.state()
		if down {
			panic(http.ErrAbortHandler)
		}
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		defer context.AfterFunc(lifetime, cancel)()
		if faults.NeverRespond {
			<-ctx.Done()
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

// receive reads a request, records its execution, and applies the faults that precede
// a response. name returns the requested resource and whether the target can serve it.
// receive returns the body and how often the call has run.
func (t *Target) receive(r *http.Request, name func([]byte) (string, bool)) (body []byte, runs int, err error) {
	body, err = io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return nil, 0, err
	}
	what, ok := name(body)
	if !ok {
		return body, 0, errNotLoaded
	}
	runs = t.record.add(Execution{
		Attempt:   r.Header.Get("Cowslip-Attempt"),
		Workspace: r.Header.Get("Cowslip-Workspace"),
		Call:      r.Header.Get("Cowslip-Call"),
		Name:      what,
		Digest:    digest(body),
		UnixMS:    t.cfg.Now().UnixMilli(),
		Header:    r.Header.Clone(),
		Body:      string(body),
	})
	faults, _, _ := t.state()
	if faults.CrashMarker != "" && strings.Contains(string(body), faults.CrashMarker) {
		t.Crash()
		panic(http.ErrAbortHandler)
	}
	if faults.CloseAfterRead {
		panic(http.ErrAbortHandler)
	}
	return body, runs, sleep(r.Context(), time.Duration(faults.ResponseDelayMS)*time.Millisecond)
}

var errNotLoaded = errors.New("model not loaded")

func (t *Target) serveRecord(w http.ResponseWriter, _ *http.Request) {
	_, used, peak, _ := t.mem.list()
	writeJSON(w, http.StatusOK, map[string]any{"executions": t.record.list(), "used_bytes": used, "peak_bytes": peak})
}

func (t *Target) handleFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	dec := json.NewDecoder(r.Body)
	dec.DisallowUnknownFields()
	if err := dec.Decode(&f); err != nil {
		writeJSON(w, http.StatusBadRequest, map[string]any{"error": err.Error()})
		return
	}
	t.SetFaults(f)
	writeJSON(w, http.StatusOK, f)
}

// reportedLoad returns the number of running requests as last sampled; samples are at
// least Config.ReportLag apart.
func (t *Target) reportedLoad() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.cfg.Now()
	if now.Sub(t.reportedAt) >= t.cfg.StatusInterval {
		t.reportedRunning = t.running.Load()
		t.reportedAt = now
	}
	return t.reportedRunning
}

// sleep waits for d, or until ctx ends and returns its error.
func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func digest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
