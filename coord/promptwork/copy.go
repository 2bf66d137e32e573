package promptwork

import (
	"maps"
	"slices"
)

// Copy returns a copy that shares nothing with r.
func (r *Rates) Copy() *Rates {
	return &Rates{prompts: copySamples(r.prompts), steps: copySamples(r.steps)}
}

func copySamples(all map[string]*samples) map[string]*samples {
	out := make(map[string]*samples, len(all))
	for name, s := range all { // any order: entries are independent
		c := *s
		c.ring, c.sorted = slices.Clone(s.ring), nil
		out[name] = &c
	}
	return out
}

// Copy returns a copy that shares nothing with p. Requests that p holds back are held in the copy by others of
// the same kind: a release there does not release them.
func (p *Pacer) Copy() *Pacer {
	c := &Pacer{ledger: &Ledger{tokens: maps.Clone(p.ledger.tokens)}, held: make(map[string][]*Held, len(p.held)), arrivals: p.arrivals}
	for target, list := range p.held { // any order: targets are independent
		for _, h := range list {
			one := *h
			c.held[target] = append(c.held[target], &one)
		}
	}
	return c
}
