package engine

import (
	"net/http"
	"sync"
)

// maxRecords bounds the memory of the execution log; further executions are counted but
// not stored.
const maxRecords = 200_000

// Execution is one request that the target started to run.
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

// executionLog records what the target executed. It survives a simulated crash because
// tests verify executions against it; it is not part of the simulated target's state.
type executionLog struct {
	mu         sync.Mutex
	executions []Execution
	calls      map[string]int
}

func newExecutionLog() *executionLog {
	return &executionLog{calls: map[string]int{}}
}

// add records an execution and returns how often its call has run; 1 if it names no call.
func (l *executionLog) add(e Execution) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.executions) < maxRecords {
		l.executions = append(l.executions, e)
	}
	if e.Call == "" {
		return 1
	}
	id := e.Workspace + "\x00" + e.Call
	l.calls[id]++
	return l.calls[id]
}

func (l *executionLog) list() []Execution {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Execution{}, l.executions...)
}
