package engine

import "time"

// Config configures one stand-in target.
type Config struct {
	Name           string
	MemoryBytes    int64         // capacity for weights and adapters; 0 for a plain service
	Concurrency    int           // requests run at full speed; beyond that, all slow down in proportion
	TokenTime      time.Duration // time to generate one token at full speed
	PromptTime     time.Duration // time before the first token at full speed
	StatusInterval time.Duration // minimum interval between updates of the load that status reports
	RestartTime    time.Duration // how long connections are aborted after a crash
	Speed          Speed         // announced with each response, and simulated
	ChecksFencing  bool          // reject admin requests with an old fencing number
	Now            func() time.Time
}

// withDefaults replaces unset values with defaults for tests: short durations, but
// not zero, so that requests overlap.
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
	c.Speed = c.Speed.withDefaults()
	return c
}

// Faults selects the injected faults; it is the body of POST /faults. The zero value
// injects none.
type Faults struct {
	SlowFactor       float64 `json:"slow_factor"`      // multiplies prompt and token times; no effect up to 1
	LoadSlowFactor   float64 `json:"load_slow_factor"` // multiplies load times, as a slow weight store does; no effect up to 1
	CrashMarker      string  `json:"crash_marker"`     // a request whose body contains it crashes the target
	CloseAfterRead   bool    `json:"close_after_read"` // closes the connection after reading and recording a request
	NeverRespond     bool    `json:"silent"`           // accepts requests and never responds
	TruncateResponse bool    `json:"half_answer"`      // closes the connection in the middle of a response
	ResponseDelayMS  int64   `json:"late_ms"`          // delay before the first byte of a response, in milliseconds
	FailLoads        bool    `json:"fail_loads"`       // loads fail after half their time; the memory stays reserved until an unload
}
