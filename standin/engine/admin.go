package engine

import (
	"encoding/json"
	"errors"
	"net/http"
	"time"
)

// adminRequest is the body of the POST /admin/ requests.
type adminRequest struct {
	Model   string `json:"model"`
	Adapter string `json:"adapter"`
	Version string `json:"version"`
	Bytes   int64  `json:"bytes"`
	Fencing uint64 `json:"fencing"`
	LoadMS  int64  `json:"load_ms"`
}

func decodeAdminRequest(w http.ResponseWriter, r *http.Request) (adminRequest, bool) {
	var req adminRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&req); err != nil {
		writeJSON(w, http.StatusBadRequest, map[string]any{"error": err.Error()})
		return req, false
	}
	return req, true
}

func (t *Target) load(w http.ResponseWriter, r *http.Request) {
	req, ok := decodeAdminRequest(w, r)
	if !ok {
		return
	}
	epoch, err := t.mem.reserve(req.Model, req.Version, req.Bytes, req.Fencing)
	if err != nil {
		writeError(w, err)
		return
	}
	faults, _, lifetime := t.state()
	state := stateLoaded
	duration := slowDown(time.Duration(req.LoadMS)*time.Millisecond, faults.LoadSlowFactor)
	if faults.FailLoads {
		state = stateFailed
		duration /= 2
	}
	// A load continues after its client disconnects; only a crash ends it.
	if sleep(lifetime, duration) != nil {
		panic(http.ErrAbortHandler)
	}
	if err := t.mem.finish(req.Model, epoch, state); err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, map[string]any{"state": stateLoaded})
}

func (t *Target) unload(w http.ResponseWriter, r *http.Request) {
	req, ok := decodeAdminRequest(w, r)
	if !ok {
		return
	}
	if err := t.mem.unload(req.Model, req.Fencing); err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, map[string]any{"state": "unloaded"})
}

func (t *Target) loadAdapter(w http.ResponseWriter, r *http.Request) {
	req, ok := decodeAdminRequest(w, r)
	if !ok {
		return
	}
	faults, _, lifetime := t.state()
	if sleep(lifetime, slowDown(time.Duration(req.LoadMS)*time.Millisecond, faults.LoadSlowFactor)) != nil {
		panic(http.ErrAbortHandler)
	}
	if err := t.mem.loadAdapter(req.Model, req.Adapter, req.Bytes); err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, map[string]any{"state": stateLoaded})
}

func (t *Target) unloadAdapter(w http.ResponseWriter, r *http.Request) {
	req, ok := decodeAdminRequest(w, r)
	if !ok {
		return
	}
	t.mem.unloadAdapter(req.Adapter)
	writeJSON(w, http.StatusOK, map[string]any{"state": "unloaded"})
}

func (t *Target) status(w http.ResponseWriter, _ *http.Request) {
	models, used, _, highest := t.mem.list()
	writeJSON(w, http.StatusOK, map[string]any{
		"name":            t.cfg.Name,
		"memory_bytes":    t.cfg.MemoryBytes,
		"used_bytes":      used,
		"running":         t.reportedLoad(),
		"models":          models,
		"highest_fencing": highest,
	})
}

func writeError(w http.ResponseWriter, err error) {
	var re *requestError
	if !errors.As(err, &re) {
		re = &requestError{status: http.StatusInternalServerError, message: err.Error()}
	}
	writeJSON(w, re.status, map[string]any{"error": re.message, "highest": re.highestFencing})
}

// slowDown multiplies d by factor; factors up to 1 have no effect.
func slowDown(d time.Duration, factor float64) time.Duration {
	if factor <= 1 {
		return d
	}
	return time.Duration(float64(d) * factor)
}
