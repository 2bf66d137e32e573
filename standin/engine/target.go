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

// maxBody bounds a request body.
const maxBody = 16 << 20

// Target is a stand-in target. It is a model engine and a plain service at
// once; which one it plays depends on the paths that are called.
type Target struct {
	cfg     Config
	mem     *memory
	record  *record
	running atomic.Int64

	mu        sync.Mutex
	faults    Faults
	downUntil time.Time
	life      context.Context // ended by a crash
	kill      context.CancelFunc
	lagged    int64
	laggedAt  time.Time
}

// New returns a healthy, empty target.
func New(cfg Config) *Target {
	cfg = cfg.withDefaults()
	t := &Target{cfg: cfg, mem: newMemory(cfg.MemoryBytes, cfg.ChecksFencing), record: newRecord()}
	t.life, t.kill = context.WithCancel(context.Background())
	return t
}

// Handler returns the target's HTTP interface.
func (t *Target) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", t.completions)
	mux.HandleFunc("POST /v1/chat/completions", t.completions)
	mux.HandleFunc("POST /admin/load", t.load)
	mux.HandleFunc("POST /admin/unload", t.unload)
	mux.HandleFunc("POST /admin/adapters/load", t.loadAdapter)
	mux.HandleFunc("POST /admin/adapters/unload", t.unloadAdapter)
	mux.HandleFunc("GET /admin/status", t.status)
	mux.HandleFunc("POST /", t.call)
	outer := http.NewServeMux()
	outer.HandleFunc("GET /record", t.showRecord)
	outer.HandleFunc("POST /faults", t.switchFaults)
	outer.HandleFunc("POST /crash", func(http.ResponseWriter, *http.Request) { t.Crash() })
	outer.Handle("/", t.whenUp(mux))
	return outer
}

// SetFaults switches faults on and off.
func (t *Target) SetFaults(f Faults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = f
}

// Record returns what the target executed so far.
func (t *Target) Record() []Execution {
	return t.record.list()
}

// Peak returns the most memory that was ever taken, in bytes.
func (t *Target) Peak() int64 {
	_, _, peak, _ := t.mem.list()
	return peak
}

// Crash loses all that is loaded and running, and refuses connections for a while.
func (t *Target) Crash() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.downUntil = t.cfg.Now().Add(t.cfg.RestartTime)
	t.kill()
	t.life, t.kill = context.WithCancel(context.Background())
	t.mem.clear()
}

func (t *Target) state() (Faults, bool, context.Context) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.faults, t.cfg.Now().Before(t.downUntil), t.life
}

// whenUp breaks every connection while the target is down, and gives each
// request a context that a crash ends.
func (t *Target) whenUp(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		faults, down, life := t.state()
		if down {
			panic(http.ErrAbortHandler)
		}
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		defer context.AfterFunc(life, cancel)()
		if faults.Silent {
			<-ctx.Done()
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

// accept reads a request, notes its execution, and plays the faults that come
// before an answer. It returns how often the call has run.
func (t *Target) accept(r *http.Request, name func([]byte) (string, bool)) (body []byte, runs int, err error) {
	body, err = io.ReadAll(io.LimitReader(r.Body, maxBody))
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
	return body, runs, pause(r.Context(), time.Duration(faults.LateMS)*time.Millisecond)
}

var errNotLoaded = errors.New("model not loaded")

func (t *Target) showRecord(w http.ResponseWriter, _ *http.Request) {
	_, used, peak, _ := t.mem.list()
	writeJSON(w, http.StatusOK, map[string]any{"executions": t.record.list(), "used_bytes": used, "peak_bytes": peak})
}

func (t *Target) switchFaults(w http.ResponseWriter, r *http.Request) {
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

// lag returns the number of running requests as it was some time ago.
func (t *Target) lag() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.cfg.Now()
	if now.Sub(t.laggedAt) >= t.cfg.ReportLag {
		t.lagged = t.running.Load()
		t.laggedAt = now
	}
	return t.lagged
}

// pause waits for d or until ctx ends.
func pause(ctx context.Context, d time.Duration) error {
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
