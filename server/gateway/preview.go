package gateway

import (
	"math/rand/v2"
	"sync"

	"cowsliptiller/coord/promptwork"
)

// preview returns targets that decide as t would decide next. The table and what only messages change are
// shared and must only be read; what decisions use or change is copied. The caller holds mu until it no longer
// uses the preview.
func (t *targets) preview() *targets {
	c := *t
	c.mu = &sync.Mutex{}
	c.router = t.router.Preview()
	c.speeds, c.samples, c.outputTimes = t.speeds.Copy(), t.samples.Copy(), t.outputTimes.Copy()
	c.prompts = t.prompts.preview()
	c.waiting = t.waiting.preview()
	c.work = newOfferedWork() // decisions do not read it
	return &c
}

// preview returns a copy. No request waits for a release in it: the channels of those that are held back
// belong to the original.
func (p promptState) preview() promptState {
	p.rates = p.rates.Copy()
	return p.withPacer(p.pacer.Copy())
}

func (p promptState) withPacer(pacer *promptwork.Pacer) promptState {
	p.pacer, p.released = pacer, map[*promptwork.Held]chan struct{}{}
	return p
}

// preview returns a copy whose random source draws what the original would draw next.
func (w waiting) preview() waiting {
	source := *w.source
	w.history, w.source = w.history.Copy(), &source
	w.random = rand.New(w.source)
	return w
}

// previewPlace returns where placePrompt would place a call's prompt, on targets that are a preview. It leaves
// their state as it is, so that the costs of candidates do not include the prompt itself.
func (t *targets) previewPlace(c *call, p destination) placedPrompt {
	before := t.prompts
	defer func() { t.prompts = before }()
	t.prompts = before.withPacer(before.pacer.Copy())
	return t.placePrompt(c, p)
}
