package engine

import (
	"net/http"
	"sync"
)

// maxRecords bounds the record; a test that needs more reads it in between.
const maxRecords = 200_000

// Execution is one request that the target began to run.
type Execution struct {
	Attempt   string      `json:"attempt"`
	Workspace string      `json:"workspace"`
	Call      string      `json:"call"`
	Name      string      `json:"name"` // model, adapter or path
	Digest    string      `json:"digest"`
	UnixMS    int64       `json:"unix_ms"`
	Header    http.Header `json:"header"`
	Body      string      `json:"body"`
}

// record is what the target executed. It outlives a simulated crash, because it
// is the tests' own account and not the target's.
type record struct {
	mu         sync.Mutex
	executions []Execution
	calls      map[string]int
}

func newRecord() *record {
	return &record{calls: map[string]int{}}
}

// add notes an execution and returns how often its call has run.
func (r *record) add(e Execution) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.executions) < maxRecords {
		r.executions = append(r.executions, e)
	}
	if e.Call == "" {
		return 1
	}
	id := e.Workspace + "\x00" + e.Call
	r.calls[id]++
	return r.calls[id]
}

func (r *record) list() []Execution {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Execution{}, r.executions...)
}
