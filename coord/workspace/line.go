package workspace

import (
	"slices"
	"time"
)

// Load pattern: one workspace sends several times its rate through many entry hosts
// for seconds, in calls of different sizes.
//
// Without it: large calls starve, since smaller ones take the tokens before enough have
// accumulated, and all calls are served or refused as late as they may wait.
// Rule: hosts whose first waiting call was not met are queued in the order of their requests.
// The owner reports how long the queue takes at the rate, and a holder refuses further calls
// once that is too long. Small calls bypass the queue: see small.go.

const (
	// MaxBacklog bounds the queue that a further call may join, as the time in which its
	// tokens flow in: a small part of a stream's latency objective.
	MaxBacklog = 100 * time.Millisecond
	// lineCalls of the usual size may join in any case: at a low rate one of them takes
	// longer than MaxBacklog by itself.
	lineCalls = 3
	// lineShare bounds the queue by the bucket's window divided by it. Tokens that other
	// hosts hold come back within that time.
	lineShare = 16
	// placeValidity is how long an unreachable host keeps its place. A host whose calls
	// wait asks again sooner.
	placeValidity = MaxWait
)

// line is the hosts whose calls wait for tokens of one workspace, in order.
type line struct {
	places []place
}

// place is one host's waiting calls, in tokens.
type place struct {
	host HostKey
	need int64 // of its first waiting call
	want int64 // of all its waiting calls
	turn int64 // of those that waited when it took the place; kept free for it
	seen time.Time
}

func (l *line) find(host HostKey) int {
	return slices.IndexFunc(l.places, func(p place) bool { return p.host == host })
}

func (l *line) has(host HostKey) bool {
	return l.find(host) >= 0
}

// stand gives a host a place at the end, or updates the one that it has. Calls that
// joined later do not come before those of hosts behind it.
func (l *line) stand(p place) {
	if i := l.find(p.host); i >= 0 {
		p.turn = l.places[i].turn
		l.places[i] = p
		return
	}
	p.turn = p.want
	l.places = append(l.places, p)
}

// turn returns the tokens that a host may have before those behind it.
func (l *line) turn(p place) int64 {
	if i := l.find(p.host); i >= 0 {
		return l.places[i].turn
	}
	return p.want
}

// served takes what a host was granted off its place. What it still waits for keeps
// the place as far as its turn goes, and is queued at the end otherwise.
func (l *line) served(p place, tokens, turn int64) {
	p.want -= tokens
	p.need = 0 // of its next call, which it says when it asks again
	if p.want <= 0 {
		l.leave(p.host)
		return
	}
	if turn <= tokens {
		l.leave(p.host)
		l.stand(p)
		return
	}
	l.stand(p)
	l.places[l.find(p.host)].turn = turn - tokens
}

// passed takes a small call that went before the line off its host's place.
func (l *line) passed(p place) {
	i := l.find(p.host)
	if i < 0 {
		return
	}
	if p.want <= p.need {
		l.leave(p.host)
		return
	}
	l.places[i].want = p.want - p.need
	l.places[i].need = 0 // of its next call, which it says when it asks again
	l.places[i].seen = p.seen
}

// leave drops a host's place.
func (l *line) leave(host HostKey) {
	if i := l.find(host); i >= 0 {
		l.places = slices.Delete(l.places, i, i+1)
	}
}

// prune drops the places of unreachable hosts.
func (l *line) prune(now time.Time) {
	kept := l.places[:0]
	for _, p := range l.places {
		if now.Sub(p.seen) < placeValidity {
			kept = append(kept, p)
		}
	}
	l.places = kept
}

// ahead returns the tokens that are kept free for the hosts before this one.
func (l *line) ahead(host HostKey) int64 {
	sum := int64(0)
	for _, p := range l.places {
		if p.host == host {
			break
		}
		sum += max(p.need, p.turn)
	}
	return sum
}

// room returns by how much each host may let its calls grow the line before it asks
// again: all hosts in it may do so at once.
func (l *line) room(all time.Duration) time.Duration {
	return min(all, all/time.Duration(1+len(l.places)))
}

// wants returns the tokens that all hosts wait for.
func (l *line) wants() int64 {
	sum := int64(0)
	for _, p := range l.places {
		sum += p.want
	}
	return sum
}

// longestLine returns how long the line may be for one more call to join it.
func (b *bucket) longestLine() time.Duration {
	usual := b.limit.After(lineCalls * b.usualCall)
	return min(max(MaxBacklog, usual), b.limit.Window()/lineShare)
}

// usualMemory is the number of calls over which the usual size is a moving mean.
const usualMemory = 16

// noteCall takes the size of a call that waits into the mean.
func (b *bucket) noteCall(tokens int64) {
	if tokens > 0 && !b.limit.small(tokens) {
		b.usualCall += (tokens - b.usualCall) / usualMemory
	}
}
