package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"cowsliptiller/coord/fault"
)

// The orders and the status of HTTPTarget.

type orderBody struct {
	Model   string `json:"model,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Version string `json:"version,omitempty"`
	Bytes   int64  `json:"bytes,omitempty"`
	Fencing uint64 `json:"fencing,omitempty"`
	LoadMS  int64  `json:"load_ms,omitempty"`
}

// Load implements Target.
func (t *HTTPTarget) Load(ctx context.Context, o ModelOrder) error {
	limit := max(loadSlack*o.LoadTime, minLoadLimit)
	return t.order(ctx, limit, "/admin/load", orderBody{Model: o.Model, Version: o.Version, Bytes: o.Bytes, Fencing: o.Fencing, LoadMS: o.LoadTime.Milliseconds()})
}

// Unload implements Target.
func (t *HTTPTarget) Unload(ctx context.Context, o ModelOrder) error {
	return t.order(ctx, minLoadLimit, "/admin/unload", orderBody{Model: o.Model, Fencing: o.Fencing})
}

// LoadAdapter implements Target.
func (t *HTTPTarget) LoadAdapter(ctx context.Context, o AdapterOrder) error {
	return t.order(ctx, adapterTimeout, "/admin/adapters/load", orderBody{Model: o.Model, Adapter: o.Adapter, Bytes: o.Bytes, LoadMS: o.LoadTime.Milliseconds()})
}

// UnloadAdapter implements Target.
func (t *HTTPTarget) UnloadAdapter(ctx context.Context, o AdapterOrder) error {
	return t.order(ctx, adapterTimeout, "/admin/adapters/unload", orderBody{Model: o.Model, Adapter: o.Adapter})
}

// order sends an order on a new connection: an old one may have gone silent,
// and an order that waits there holds up memory.
func (t *HTTPTarget) order(ctx context.Context, limit time.Duration, path string, body orderBody) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	text, err := json.Marshal(body)
	if err != nil {
		return fault.New(fault.Internal, "order: %v", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, t.base+path, bytes.NewReader(text))
	if err != nil {
		return fault.New(fault.Internal, "order: %v", err)
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := t.once.Do(req)
	if err != nil {
		return fault.New(fault.TargetFailed, "the target gave no answer to an order: %s", reason(err))
	}
	defer res.Body.Close()
	return orderAnswer(res)
}

// orderAnswer reads an answer's body only where its status does not say enough: a body may have no
// end.
func orderAnswer(res *http.Response) error {
	switch res.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusConflict:
		return conflict(res.Body)
	case http.StatusInsufficientStorage:
		return fault.New(fault.NoCapacity, "the target's memory is full")
	case http.StatusNotFound:
		return fault.New(fault.NotHere, "the target does not hold the model")
	}
	return fault.New(fault.TargetFailed, "the target answered an order with status %d", res.StatusCode)
}

// conflict is the failure of an order that a target answered with status 409.
func conflict(body io.Reader) error {
	var answer struct {
		Error   string `json:"error"`
		Highest uint64 `json:"highest"`
	}
	_ = json.NewDecoder(io.LimitReader(body, maxStatusBytes)).Decode(&answer)
	if answer.Error == "fenced" {
		return fault.New(fault.Fenced, "the target has obeyed order %d", answer.Highest)
	}
	return fault.New(fault.TargetFailed, "the target answered an order with status %d", http.StatusConflict)
}

type statusBody struct {
	MemoryBytes int64 `json:"memory_bytes"`
	UsedBytes   int64 `json:"used_bytes"`
	Running     int   `json:"running"`
	Models      []struct {
		Name     string `json:"name"`
		Version  string `json:"version"`
		Bytes    int64  `json:"bytes"`
		Fencing  uint64 `json:"fencing"`
		State    string `json:"state"`
		Adapters []struct {
			Name  string `json:"name"`
			Bytes int64  `json:"bytes"`
		} `json:"adapters"`
	} `json:"models"`
	HighestFencing uint64 `json:"highest_fencing"`
}

// Status implements Target.
func (t *HTTPTarget) Status(ctx context.Context) (*Status, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, t.base+"/admin/status", nil)
	if err != nil {
		return nil, fault.New(fault.Internal, "status: %v", err)
	}
	res, err := t.once.Do(req)
	if err != nil {
		return nil, fault.New(fault.Unavailable, "the target does not tell its status: %s", reason(err))
	}
	defer res.Body.Close()
	var body statusBody
	if err := json.NewDecoder(io.LimitReader(res.Body, maxStatusBytes)).Decode(&body); err != nil || res.StatusCode != http.StatusOK {
		return nil, fault.New(fault.TargetFailed, "the target's status cannot be read (status %d)", res.StatusCode)
	}
	return body.status(), nil
}

func (b *statusBody) status() *Status {
	s := &Status{MemoryBytes: b.MemoryBytes, UsedBytes: b.UsedBytes, Running: b.Running, HighestFencing: b.HighestFencing}
	for _, m := range b.Models {
		// A target that tells no state lists only what is loaded.
		loaded := LoadedModel{Name: m.Name, Version: m.Version, Bytes: m.Bytes, Fencing: m.Fencing, Loaded: m.State == "" || m.State == "loaded", Loading: m.State == "loading"}
		for _, a := range m.Adapters {
			loaded.Adapters = append(loaded.Adapters, LoadedAdapter{Name: a.Name, Bytes: a.Bytes})
		}
		s.Models = append(s.Models, loaded)
	}
	return s
}
