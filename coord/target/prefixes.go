package target

import "container/list"

// Load pattern: calls that share a long prompt prefix, among calls that do not.
//
// Without affinity the shared prefix leaves the engine's limited cache between two
// calls that use it and is computed anew. With belief in every cache event, a late or
// lost one sends calls after a prefix that is gone.
//
// The rule: a prefix counts as cached when the engine said so in an unbroken sequence of
// events, or when a request with it began to answer here; a gap in the sequence forgets
// everything that the engine said or did not say. The number kept is bounded.

// maxPrefixes is about what an engine's cache holds in prompts of some thousand tokens.
const maxPrefixes = 256

// Prefixes is what is believed to be in an engine's prefix cache.
type Prefixes struct {
	next    uint64
	order   list.List // newest first, of string
	present map[string]*list.Element
}

// NewPrefixes returns an empty belief.
func NewPrefixes() *Prefixes {
	return &Prefixes{present: make(map[string]*list.Element)}
}

// Event takes one cache event of the engine. A sequence that is not the next one
// means that events were lost: all belief ends.
func (p *Prefixes) Event(sequence uint64, prefix string, stored bool) {
	if p.next != 0 && sequence != p.next {
		p.Forget()
	}
	p.next = sequence + 1
	if stored {
		p.Touch(prefix)
	} else if e, known := p.present[prefix]; known {
		p.order.Remove(e)
		delete(p.present, prefix)
	}
}

// Touch notes that a request with the prefix was answered here.
func (p *Prefixes) Touch(prefix string) {
	if prefix == "" {
		return
	}
	if e, known := p.present[prefix]; known {
		p.order.MoveToFront(e)
		return
	}
	p.present[prefix] = p.order.PushFront(prefix)
	if p.order.Len() > maxPrefixes {
		oldest := p.order.Back()
		delete(p.present, p.order.Remove(oldest).(string))
	}
}

// Forget ends all belief, as after the engine's restart.
func (p *Prefixes) Forget() {
	p.order.Init()
	clear(p.present)
}

// Has reports whether the prefix is believed to be cached.
func (p *Prefixes) Has(prefix string) bool {
	_, known := p.present[prefix]
	return known
}
