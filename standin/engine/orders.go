package engine

import (
	"encoding/json"
	"errors"
	"net/http"
	"time"
)

type order struct {
	Model   string `json:"model"`
	Adapter string `json:"adapter"`
	Version string `json:"version"`
	Bytes   int64  `json:"bytes"`
	Fencing uint64 `json:"fencing"`
	LoadMS  int64  `json:"load_ms"`
}

func readOrder(w http.ResponseWriter, r *http.Request) (order, bool) {
	var o order
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&o); err != nil {
		writeJSON(w, http.StatusBadRequest, map[string]any{"error": err.Error()})
		return o, false
	}
	return o, true
}

func (t *Target) load(w http.ResponseWriter, r *http.Request) {
	o, ok := readOrder(w, r)
	if !ok {
		return
	}
	epoch, err := t.mem.reserve(o.Model, o.Version, o.Bytes, o.Fencing)
	if err != nil {
		refuse(w, err)
		return
	}
	faults, _, life := t.state()
	state := stateLoaded
	duration := stretch(time.Duration(o.LoadMS)*time.Millisecond, faults.LoadSlowFactor)
	if faults.FailLoads {
		state = stateFailed
		duration /= 2
	}
	// The load goes on when the one who ordered it has gone; only a crash ends it.
	if pause(life, duration) != nil {
		panic(http.ErrAbortHandler)
	}
	if err := t.mem.finish(o.Model, epoch, state); err != nil {
		refuse(w, err)
		return
	}
	writeJSON(w, http.StatusOK, map[string]any{"state": stateLoaded})
}

func (t *Target) unload(w http.ResponseWriter, r *http.Request) {
	o, ok := readOrder(w, r)
	if !ok {
		return
	}
	if err := t.mem.unload(o.Model, o.Fencing); err != nil {
		refuse(w, err)
		return
	}
	writeJSON(w, http.StatusOK, map[string]any{"state": "unloaded"})
}

func (t *Target) loadAdapter(w http.ResponseWriter, r *http.Request) {
	o, ok := readOrder(w, r)
	if !ok {
		return
	}
	faults, _, life := t.state()
	if pause(life, stretch(time.Duration(o.LoadMS)*time.Millisecond, faults.LoadSlowFactor)) != nil {
		panic(http.ErrAbortHandler)
	}
	if err := t.mem.loadAdapter(o.Model, o.Adapter, o.Bytes); err != nil {
		refuse(w, err)
		return
	}
	writeJSON(w, http.StatusOK, map[string]any{"state": stateLoaded})
}

func (t *Target) unloadAdapter(w http.ResponseWriter, r *http.Request) {
	o, ok := readOrder(w, r)
	if !ok {
		return
	}
	t.mem.unloadAdapter(o.Adapter)
	writeJSON(w, http.StatusOK, map[string]any{"state": "unloaded"})
}

func (t *Target) status(w http.ResponseWriter, _ *http.Request) {
	models, used, _, highest := t.mem.list()
	writeJSON(w, http.StatusOK, map[string]any{
		"name":            t.cfg.Name,
		"memory_bytes":    t.cfg.MemoryBytes,
		"used_bytes":      used,
		"running":         t.lag(),
		"models":          models,
		"highest_fencing": highest,
	})
}

func refuse(w http.ResponseWriter, err error) {
	var oe *orderError
	if !errors.As(err, &oe) {
		oe = &orderError{status: http.StatusInternalServerError, message: err.Error()}
	}
	writeJSON(w, oe.status, map[string]any{"error": oe.message, "highest": oe.highest})
}

func stretch(d time.Duration, factor float64) time.Duration {
	if factor <= 1 {
		return d
	}
	return time.Duration(float64(d) * factor)
}
