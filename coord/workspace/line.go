package workspace

import (
	"slices"
	"time"
)

// Load pattern: one workspace sends several times its rate through many entry hosts
// for seconds, in calls of different sizes.
//
// Without a line, whoever asks while enough tokens are free takes them: a call of
// eight times the usual size was charged in 1 of 80 cases and a usual one in 1 of 3,
// because the tokens for it are taken before they have gathered. Without a bound on
// the line, each host keeps its calls for as long as they may wait, so that all that
// is served is half a second late, and who is refused learns it half a second late.
//
// The rules: hosts whose first waiting call was not met stand in line in the order in
// which they asked, and a host gets only what those before it leave. The owner says
// how long the whole line takes at the rate; a holder lets no more calls join once
// that is too long. Nothing that the workspace is owed is lost: tokens gather in the
// bucket while no call waits for them. Small calls go before the line: see small.go.

const (
	// MaxBacklog is how long the line may be for one more call to join it, as the time
	// in which its tokens flow in: a third of the shortest latency target of a stream in
	// use (300 ms), which leaves the rest of it to the target.
	MaxBacklog = 100 * time.Millisecond
	// lineCalls is how many usual calls may join in any case: at a low rate one of them
	// takes longer than MaxBacklog by itself.
	lineCalls = 3
	// lineShare: the line is never longer than the bucket's window divided by this. Tokens
	// that lie at other hosts come back within that time: none of 4,957 calls inside the
	// rate was refused, and one with a 24th (TestWorkspace).
	lineShare = 16
	// placeValidity is how long a host that says nothing more keeps its place. A host
	// whose calls wait asks again sooner; one that died must not hold up the others.
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
// the place as far as its turn goes, and stands at the end otherwise.
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

// prune drops the places of hosts that fell silent.
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
// again: all hosts in it are told so, and may do so at once.
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
