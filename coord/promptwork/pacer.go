package promptwork

import (
	"cmp"
	"slices"
	"time"
)

// Load pattern: a host gets several long prompts at once for a model that few targets hold.
// Without it: they arrive at a target together. Each of its steps processes a full chunk until all are done, and
// the streams there have pauses of several steps of that length.
// Rule: bound the prompt tokens on their way from this host to a target. Above the bound a request is sent to
// another target, or waits at this host, in order of rank and then of arrival, for a bounded time.

// pauseShare is the share of the tightest pause for which a target may process prompts of one host. The rest
// is for those of others and for the steps themselves.
const pauseShare = 0.5

// Bound returns how many prompt tokens may be on their way to a target at a time; 0: any number, since a rate
// or the pause is not known. PerToken is in seconds at usual speed, speed the target's factor, and pause the longest
// pause between two events that is in time.
func Bound(perToken, speed float64, pause time.Duration) int64 {
	if perToken <= 0 || !validSpeed(speed) || pause <= 0 {
		return 0
	}
	return max(1, int64(pauseShare*pause.Seconds()/(perToken*speed)))
}

// holdLatencyShare is the share of its target latency within which a held prompt must have been processed.
const holdLatencyShare = 0.5

// MaxHold returns how long a request may be held back. Latency is the target latency of its route, prefill the
// time that its prompt takes, spent the time since its arrival, and queueLimit what its route may still wait.
func MaxHold(latency, prefill, spent, queueLimit time.Duration) time.Duration {
	limit := time.Duration(holdLatencyShare*float64(latency)) - prefill - spent
	return max(0, min(limit, queueLimit))
}

// Pacer bounds the prompt tokens on their way to each target. It uses a Ledger, which only it changes.
type Pacer struct {
	ledger   *Ledger
	held     map[string][]*Held // by target, in the order in which they may start
	arrivals uint64
}

// Held is a request that is held back.
type Held struct {
	Entry   *Entry // of the request once it has been released; nil before
	target  string
	tokens  int64
	bound   int64
	rank    int
	arrival uint64
}

// NewPacer returns a Pacer without requests.
func NewPacer() *Pacer { return &Pacer{ledger: NewLedger(), held: map[string][]*Held{}} }

// Tokens returns the prompt tokens on their way to a target.
func (p *Pacer) Tokens(target string) int64 { return p.ledger.Tokens(target) }

// HasRoom reports whether a prompt may be sent to a target now. Bound is that of the target, 0 for none. A
// prompt above the bound goes alone. No request passes one that is held back there and is not less urgent.
func (p *Pacer) HasRoom(target string, rank int, tokens, bound int64) bool {
	held := p.held[target]
	return (len(held) == 0 || held[0].rank > rank) && p.fits(target, tokens, bound)
}

// Suits reports whether a prompt may be sent to a target now without going alone there. A prompt above the
// bound delays the streams of this target by more than half of their tightest pause; a faster one may not.
func (p *Pacer) Suits(target string, rank int, tokens, bound int64) bool {
	return p.HasRoom(target, rank, tokens, bound) && (bound <= 0 || boundTokens(tokens) <= bound)
}

func (p *Pacer) fits(target string, tokens, bound int64) bool {
	waiting := p.ledger.Tokens(target)
	return bound <= 0 || waiting == 0 || waiting+boundTokens(tokens) <= bound
}

// Begin counts a prompt that is sent to a target, whether it has room or not.
func (p *Pacer) Begin(target string, tokens int64) *Entry { return p.ledger.Begin(target, tokens) }

// Hold adds a request that waits until a target has room for its prompt. It must end with its release by End
// or Cancel, or with Force or Cancel for itself.
func (p *Pacer) Hold(target string, rank int, tokens, bound int64) *Held {
	p.arrivals++
	h := &Held{target: target, tokens: tokens, bound: bound, rank: rank, arrival: p.arrivals}
	p.held[target] = append(p.held[target], h)
	slices.SortStableFunc(p.held[target], func(a, b *Held) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.arrival, b.arrival))
	})
	return h
}

// End ends a prompt whose response has begun, or whose attempt has ended without. It returns the requests that
// are released: they are sent now.
func (p *Pacer) End(e *Entry) []*Held {
	if e == nil || e.ended {
		return nil
	}
	p.ledger.End(e)
	return p.release(e.target)
}

// Force releases a request that has waited for its longest time, if it is held.
func (p *Pacer) Force(h *Held) {
	if h.Entry == nil {
		p.remove(h)
		h.Entry = p.ledger.Begin(h.target, h.tokens)
	}
}

// Cancel removes a request that is not sent. It returns those that are released thereby.
func (p *Pacer) Cancel(h *Held) []*Held {
	if h.Entry != nil {
		return p.End(h.Entry)
	}
	p.remove(h)
	return p.release(h.target)
}

func (p *Pacer) remove(h *Held) {
	left := slices.DeleteFunc(p.held[h.target], func(other *Held) bool { return other == h })
	if len(left) == 0 {
		delete(p.held, h.target)
		return
	}
	p.held[h.target] = left
}

// release begins the requests that are held back for a target, in order, as far as they fit.
func (p *Pacer) release(target string) (released []*Held) {
	for len(p.held[target]) > 0 {
		first := p.held[target][0]
		if !p.fits(target, first.tokens, first.bound) {
			return released
		}
		p.Force(first)
		released = append(released, first)
	}
	return released
}
