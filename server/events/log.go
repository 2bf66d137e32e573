package events

import (
	"hash/fnv"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
)

const (
	// linesPerSecond is the sustained rate limit of a process. At some 15 microseconds
	// a line it takes half a percent of a fifth of a core.
	linesPerSecond = 60
	// burstLines is the number of lines that may be logged at once.
	burstLines = 300
	// sampleOneIn: one in this many served requests is logged.
	sampleOneIn = 16
)

// Log writes events. It is safe for concurrent use. No other lock is acquired while its
// lock is held.
type Log struct {
	logger hclog.Logger
	now    func() time.Time

	mu         sync.Mutex // guards the token bucket below
	tokens     float64
	refilledAt time.Time
	skipped    int64
}

// New returns a Log that writes to logger. now returns the current time.
func New(logger hclog.Logger, now func() time.Time) *Log {
	return &Log{logger: logger, now: now, tokens: burstLines, refilledAt: now()}
}

// Sampled reports whether the request with this id is logged although it was served. The
// result depends on the id alone.
func Sampled(request string) bool {
	h := fnv.New32a()
	_, _ = h.Write([]byte(request))
	return h.Sum32()%sampleOneIn == 0
}

// allow takes one token for a line. It reports whether the line may be logged and how
// many lines were skipped since the last one.
func (l *Log) allow() (skipped int64, ok bool) {
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tokens = min(burstLines, l.tokens+now.Sub(l.refilledAt).Seconds()*linesPerSecond)
	l.refilledAt = now
	if l.tokens < 1 {
		l.skipped++
		return 0, false
	}
	l.tokens--
	skipped, l.skipped = l.skipped, 0
	return skipped, true
}

// emit logs a rate-limited event.
func (l *Log) emit(event string, args ...any) {
	skipped, ok := l.allow()
	if !ok {
		return
	}
	if skipped > 0 {
		args = append(args, "skipped_lines", skipped)
	}
	l.logger.Info(event, args...)
}
