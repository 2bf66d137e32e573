package target

import "container/list"

// Load pattern: calls that share a long prompt prefix, mixed with calls that do not.
// Without it: the engine's cache drops the prefix between two uses and computes it again;
// after a late or lost cache event, calls are preferred for a prefix that is not cached.
// Rule: a prefix counts as cached after its event in a gapless sequence, or the first token
// of a request with it; a gap clears all prefixes, and their number is bounded.

// maxPrefixes is about the number of prompts of a few thousand tokens that an engine's
// prefix cache holds.
const maxPrefixes = 256

// Prefixes estimates the content of an engine's prefix cache.
type Prefixes struct {
	nextSequence uint64
	lru          list.List // prefixes, most recently used first
	elements     map[string]*list.Element
}

// NewPrefixes returns an empty set of prefixes.
func NewPrefixes() *Prefixes {
	return &Prefixes{elements: make(map[string]*list.Element)}
}

// ApplyEvent applies one cache event of the engine: the prefix was stored or removed. A
// sequence number other than the expected one means that events were lost, and clears
// the set first.
func (p *Prefixes) ApplyEvent(sequence uint64, prefix string, stored bool) {
	if p.nextSequence != 0 && sequence != p.nextSequence {
		p.Reset()
	}
	p.nextSequence = sequence + 1
	if stored {
		p.Touch(prefix)
	} else if e, known := p.elements[prefix]; known {
		p.lru.Remove(e)
		delete(p.elements, prefix)
	}
}

// Touch adds the prefix or marks it as most recently used. If the set is full, it removes
// the least recently used prefix. An empty prefix is ignored.
func (p *Prefixes) Touch(prefix string) {
	if prefix == "" {
		return
	}
	if e, known := p.elements[prefix]; known {
		p.lru.MoveToFront(e)
		return
	}
	p.elements[prefix] = p.lru.PushFront(prefix)
	if p.lru.Len() > maxPrefixes {
		oldest := p.lru.Back()
		delete(p.elements, p.lru.Remove(oldest).(string))
	}
}

// Reset clears the set, for example after a restart of the engine.
func (p *Prefixes) Reset() {
	p.lru.Init()
	clear(p.elements)
}

// Has reports whether the prefix is assumed to be cached.
func (p *Prefixes) Has(prefix string) bool {
	_, known := p.elements[prefix]
	return known
}
