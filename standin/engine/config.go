package engine

import "time"

// Config describes one stand-in target.
type Config struct {
	Name          string
	MemoryBytes   int64         // room for weights and adapters; 0 for a plain service
	Concurrency   int           // requests it runs at full speed; above it each slows in proportion
	TokenTime     time.Duration // between two generated tokens at full speed
	PromptTime    time.Duration // before the first token, at full speed
	ReportLag     time.Duration // age of the load that status reports
	RestartTime   time.Duration // how long it refuses connections after a crash
	ChecksFencing bool          // refuses orders with an old fencing number
	Now           func() time.Time
}

// withDefaults fills what was left out with values that suit a test: fast, but
// not instant, so that requests overlap.
func (c Config) withDefaults() Config {
	if c.Concurrency <= 0 {
		c.Concurrency = 8
	}
	if c.TokenTime <= 0 {
		c.TokenTime = time.Millisecond
	}
	if c.PromptTime <= 0 {
		c.PromptTime = 2 * time.Millisecond
	}
	if c.RestartTime <= 0 {
		c.RestartTime = 200 * time.Millisecond
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	return c
}

// Faults are what can be switched on over POST /faults. The zero value is a
// healthy target.
type Faults struct {
	SlowFactor     float64 `json:"slow_factor"`      // stretches generation; 0 or 1: none
	LoadSlowFactor float64 `json:"load_slow_factor"` // stretches loads, as a slow weight store does
	CrashMarker    string  `json:"crash_marker"`     // a request whose body holds it crashes the target
	CloseAfterRead bool    `json:"close_after_read"` // closes the connection after reading and running a call
	Silent         bool    `json:"silent"`           // accepts, and never answers
	HalfAnswer     bool    `json:"half_answer"`      // closes the connection in the middle of an answer
	LateMS         int64   `json:"late_ms"`          // waits before the first byte
	FailLoads      bool    `json:"fail_loads"`       // a load dies halfway; its memory stays taken until unloaded
}
