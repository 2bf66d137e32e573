package promptwork

import "time"

// Load pattern: an agent reads the state of its target several times a second. Prompts of all hosts arrive
// there, and the number of requests does not show their sizes.
// Without it: a host knows its own prompts only, one of thirty hosts' on each target.
// Rule: count the prompt tokens of the runs that were not in the report before, over the last second.

const (
	// meterWindow is the time over which tokens are counted.
	meterWindow = time.Second
	// eventTokens is the number of output tokens that an event holds at least.
	eventTokens = 7
)

// Run is one request that a target has in its memory.
type Run struct {
	ID     string
	Tokens int64 // in memory: of the prompt, as far as it is processed, and of the output
	Events int64 // that it has sent
}

// Meter measures the prompt tokens that a target processes. It is for one start of the target.
type Meter struct {
	runs    map[string]counted // in the latest report, by id; nil: no report yet
	seenAt  time.Time          // of the latest report
	arrived []arrival          // within meterWindow, oldest first
}

// counted is what has been counted of a run.
type counted struct {
	prompt int64 // tokens
	whole  bool  // the whole prompt: the run has sent an event
}

type arrival struct {
	at     time.Time
	tokens int64
}

// Observe records the runs in a report read at now. The new runs of the first report, and of one after a gap of
// meterWindow, are not counted: they began at unknown times.
func (m *Meter) Observe(runs []Run, now time.Time) {
	next := make(map[string]counted, len(runs))
	sum := int64(0)
	for _, r := range runs {
		before := m.runs[r.ID]
		next[r.ID] = before.with(r)
		sum += next[r.ID].prompt - before.prompt
	}
	if m.runs != nil && sum > 0 && now.Sub(m.seenAt) < meterWindow {
		m.arrived = append(m.arrived, arrival{now, sum})
	}
	m.runs, m.seenAt = next, now
	m.prune(now)
}

// with returns what is counted of a run after a report. Once it has sent an event it grows by output only.
func (c counted) with(r Run) counted {
	if c.whole {
		return c
	}
	output := eventTokens * min(max(0, r.Events), maxPromptTokens)
	return counted{prompt: max(c.prompt, boundTokens(r.Tokens-output)), whole: r.Events > 0}
}

// PerSecond returns the mean over the last second, in tokens per second.
func (m *Meter) PerSecond(now time.Time) float64 {
	m.prune(now)
	sum := int64(0)
	for _, a := range m.arrived {
		sum += a.tokens
	}
	return float64(sum) / meterWindow.Seconds()
}

// prune drops what is older than meterWindow.
func (m *Meter) prune(now time.Time) {
	old := 0
	for old < len(m.arrived) && now.Sub(m.arrived[old].at) >= meterWindow {
		old++
	}
	m.arrived = m.arrived[old:]
}
