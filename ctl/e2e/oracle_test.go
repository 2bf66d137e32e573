package e2e

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
	"time"

	. "github.com/onsi/gomega"

	"cowsliptiller/ctl/load"
	"cowsliptiller/standin/engine"
)

// judge checks the callers' record against the targets' record:
// every request has one final answer that is whole and its own or an honest
// refusal, nothing that may not be repeated ran twice, what was told "not run"
// did not run, no target saw a key, and nothing ran for another workspace.
func judge(f *fleet, outcomes []load.Outcome, executions []engine.Execution, deadline time.Duration) {
	ran := byDigest(executions)
	for _, e := range executions {
		judgeExecution(f, e)
	}
	judgeCalls(executions)
	for _, o := range outcomes {
		r := o.Request
		runs := ran[digest(r.Body)]
		Expect(o.Result).NotTo(BeElementOf(load.Lost, load.Wrong), "request %d: %+v", r.Number, o)
		Expect(o.Took).To(BeNumerically("<", deadline), "request %d answered late: %+v", r.Number, o)
		if o.Result == load.Refused && o.Ran == "no" {
			Expect(runs).To(BeEmpty(), "request %d was told \"not run\" (%s) and ran", r.Number, o.Kind)
		}
		if o.Result == load.Answered {
			Expect(runs).NotTo(BeEmpty(), "request %d has an answer that no target gave", r.Number)
		}
		for _, e := range runs {
			Expect(e.Workspace).To(Equal(r.Workspace), "request %d ran for another workspace", r.Number)
		}
	}
}

// judgeCalls checks that no call with an idempotency key ran twice.
func judgeCalls(executions []engine.Execution) {
	runs := map[string]int{}
	for _, e := range executions {
		if !strings.Contains(e.Body, `"confirm"`) {
			continue
		}
		id := e.Workspace + " " + e.Digest
		runs[id]++
		Expect(runs[id]).To(Equal(1), "a call that may not be repeated ran twice: %s %s", e.Workspace, e.Body)
	}
}

func byDigest(executions []engine.Execution) map[string][]engine.Execution {
	ran := map[string][]engine.Execution{}
	for _, e := range executions {
		ran[e.Digest] = append(ran[e.Digest], e)
	}
	return ran
}

func judgeExecution(f *fleet, e engine.Execution) {
	for workspace, key := range f.keys {
		Expect(e.Body).NotTo(ContainSubstring(key), "a target saw the key of %s in a body", workspace)
		Expect(e.Name).NotTo(ContainSubstring(key), "a target saw the key of %s in a path", workspace)
		for name, values := range e.Header {
			Expect(strings.Join(values, " ")).NotTo(ContainSubstring(key), "a target saw the key of %s in header %s", workspace, name)
		}
	}
}

func count(outcomes []load.Outcome, result load.Result) int {
	n := 0
	for _, o := range outcomes {
		if o.Result == result {
			n++
		}
	}
	return n
}

func digest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}
