package agent

import (
	"context"
	"io"
	"time"

	"cowsliptiller/coord/framing"
)

// Target is what an agent needs of the engine or plain service beside it.
// Another engine needs one new file that implements it.
//
// Errors are faults. fault.RanNo is returned only where it is certain that the
// target did not begin the call.
type Target interface {
	// Call sends one request and returns the head of the answer. The body must
	// be closed. The context ends the call at the target too.
	Call(ctx context.Context, c *Call) (*Reply, error)
	// Load loads a model and returns when it is loaded. fault.Fenced: the
	// target has obeyed a newer order; fault.NoCapacity: no memory.
	Load(ctx context.Context, o ModelOrder) error
	// Unload unloads a model; one that is not loaded is no error.
	Unload(ctx context.Context, o ModelOrder) error
	// LoadAdapter loads an adapter on a loaded model.
	LoadAdapter(ctx context.Context, o AdapterOrder) error
	// UnloadAdapter unloads an adapter.
	UnloadAdapter(ctx context.Context, o AdapterOrder) error
	// Status tells what is loaded. fault.Unavailable: no answer;
	// fault.TargetFailed: an answer that is no status.
	Status(ctx context.Context) (*Status, error)
}

// Call is one request to a target.
type Call struct {
	Attempt     string
	Workspace   string
	Priority    int    // 0 is the highest
	Model       string // empty for a plain service
	Path        string // with a leading slash
	Name        string // names the call for a plain service, stays the same when a caller repeats it
	ContentType string
	Body        []byte
	Repeatable  bool // false: sent once, on a connection of its own
}

// Reply is the head of a target's answer, and its body.
type Reply struct {
	Status      int
	ContentType string
	Framing     framing.Framing
	Body        io.ReadCloser
}

// end returns how the answer ended, given the error of its last read.
func (r *Reply) end(events *framing.EventScanner, err error) framing.End {
	if framing.IsEventStream(r.ContentType) {
		return events.End(r.Framing, r.ContentType, err)
	}
	return framing.EndOfBody(err)
}

// ModelOrder asks a target to load or unload a model.
type ModelOrder struct {
	Model    string
	Version  string
	Bytes    int64
	Fencing  uint64
	LoadTime time.Duration // expected, from the questionnaire
}

// AdapterOrder asks a target to load or unload an adapter.
type AdapterOrder struct {
	Adapter  string
	Model    string
	Bytes    int64
	LoadTime time.Duration
}

// Status is what a target says of itself.
type Status struct {
	MemoryBytes    int64
	UsedBytes      int64
	Running        int // lags
	Models         []LoadedModel
	HighestFencing uint64
}

// LoadedModel is a model in a target's memory.
type LoadedModel struct {
	Name     string
	Version  string
	Bytes    int64
	Fencing  uint64
	Loaded   bool
	Loading  bool // neither loaded nor loading: a load that died; its memory counts
	Adapters []LoadedAdapter
}

// LoadedAdapter is an adapter in a target's memory.
type LoadedAdapter struct {
	Name  string
	Bytes int64
}

// model returns what the target holds of a model, nil if nothing.
func (s *Status) model(name string) *LoadedModel {
	for i := range s.Models {
		if s.Models[i].Name == name {
			return &s.Models[i]
		}
	}
	return nil
}
