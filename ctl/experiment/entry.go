package experiment

import (
	"time"

	"cowsliptiller/coord/placement"
	"cowsliptiller/coord/routing"
)

// entry is an entry host: it answers each request that it took.
type entry struct {
	w       *world
	number  int
	room    room
	chooser chooser
	served  map[string]int64
}

func (e *entry) arrive(r *request) {
	r.deadline = e.w.now + e.w.config.Classes[r.class].Deadline
	r.cold = !e.w.control.serving(r.model)
	e.w.limiter.charge(r, func(ok bool) {
		if !ok {
			e.final(r, refusedRate)
			return
		}
		r.charged, r.chargedAt = true, e.w.now
		if !e.room.arrive(r) {
			e.final(r, refusedOther)
			return
		}
		e.pump(r.model)
	})
}

// final gives a request its one final answer.
func (e *entry) final(r *request, res result) {
	if r.result != open {
		panic("a second final answer")
	}
	r.result, r.endAt = res, e.w.now
}

// pump hands over what may start.
func (e *entry) pump(model string) {
	for e.chooser.serves(model) {
		r := e.room.next(model)
		if r == nil {
			return
		}
		name, ok := e.chooser.pick(r)
		if !ok {
			e.retry(r)
			return
		}
		r.target, r.handedAt = name, e.w.now
		e.chooser.started(r)
		e.w.after(hop, func() { e.handOver(r) })
	}
}

func (e *entry) handOver(r *request) {
	t := e.w.targets[r.target]
	if t.dead {
		// The connection is refused: nothing was handed over.
		e.w.after(hop, func() {
			e.chooser.finished(r, routing.Failed, 0, nil)
			e.exclude(r)
			e.retry(r)
			e.pump(r.model)
		})
		return
	}
	no := t.take(r)
	if no == nil {
		return
	}
	load := t.queue.load()
	e.w.after(hop, func() { e.refused(r, no, load) })
}

// refused meets a refusal by an agent: the request did not run and goes on.
func (e *entry) refused(r *request, no *refusal, load routing.LoadReport) {
	e.chooser.finished(r, routing.Neutral, 0, &load)
	e.exclude(r)
	if !no.leaving && !no.notHere {
		// It waits here again, for an answer or the next round: sent on at
		// once, it would only be refused again.
		e.room.overload(r)
		e.retry(r)
		return
	}
	e.chooser.refused(r, r.target, no.leaving, no.resident)
	e.w.measure.wrongPlace++
	e.retry(r)
	e.pump(r.model)
}

func (e *entry) exclude(r *request) {
	r.excluded = append(r.excluded, r.target)
}

// retry puts back a request that did not run.
func (e *entry) retry(r *request) {
	if !e.room.again(r) {
		e.final(r, refusedOther)
	}
}

func (e *entry) answered(r *request, took time.Duration, load routing.LoadReport) {
	e.chooser.finished(r, routing.Served, took, &load)
	e.room.done(r, true)
	e.served[r.model]++
	e.final(r, answered)
	e.pump(r.model)
}

// expired gives up a request that waited at its target past its deadline.
func (e *entry) expired(r *request) {
	e.chooser.finished(r, routing.Neutral, 0, nil)
	e.room.done(r, false)
	e.final(r, refusedOther)
	e.pump(r.model)
}

// broken meets an answer that broke off: the caller may repeat it himself.
func (e *entry) broken(r *request) {
	e.chooser.finished(r, routing.Failed, 0, nil)
	e.room.done(r, false)
	e.final(r, failed)
	e.pump(r.model)
}

func (e *entry) tick() {
	for _, r := range e.room.expire() {
		e.final(r, refusedOther)
	}
	demands := e.room.demands(e.served)
	clear(e.served)
	e.w.after(hop, func() { e.w.control.demand(e, demands) })
	for _, model := range e.room.waiting() {
		e.pump(model)
	}
}

// forecast takes control's word on the models that wait here.
func (e *entry) forecast(model string, f placement.Forecast) {
	e.room.forecast(model, f)
	for _, r := range e.room.expire() {
		e.final(r, refusedOther)
	}
}

func (e *entry) view(v routing.View) {
	e.chooser.view(v)
	for _, model := range e.room.waiting() {
		if e.chooser.serves(model) {
			e.room.forecast(model, placement.Forecast{Possible: true})
		}
		e.pump(model)
	}
}
