package gateway

import "cowsliptiller/coord/fault"

// step is what a call that has no target yet does next.
type step int

const (
	stepSend        step = iota // it is sent to the target, which holds what it needs
	stepRefuse                  // it is refused
	stepLoadAdapter             // the target holds its model; the target's agent is asked for the adapter
	stepLoadModel               // a target's agent is asked for its model, once the target table is complete
	stepNoTarget                // it is refused, once the target table is complete
)

// decision is the next step of a call.
type decision struct {
	step   step
	target destination // of stepSend and stepLoadAdapter
	picked destination // by the router, before the targets' queues were considered
	err    error       // of stepRefuse and stepNoTarget
}

// decide decides the next step of a call from the state of the targets, the router's random source and that of
// retry times. It changes only these sources, and the estimated wait in the call's record: the steps are
// carried out by chooseTarget, and explained by Where.
func (t *retryState) decide() decision {
	c := t.call
	p, held, ok := t.gateway.targets.pick(c, t.excluded)
	switch {
	case ok && held:
		admitted, err := t.admitToQueue(p)
		if err != nil {
			return decision{step: stepRefuse, err: err}
		}
		return decision{step: stepSend, target: admitted, picked: p}
	case !c.needsModel() && t.lastErr != nil:
		return decision{step: stepRefuse, err: t.lastErr}
	case !c.needsModel():
		return decision{step: stepNoTarget, err: fault.NewRetryAfter(fault.Overloaded, overloadRetryAfter, "no target of service %q takes requests", c.service.Name)}
	case ok && p.Agent != "":
		return decision{step: stepLoadAdapter, target: p}
	}
	return decision{step: stepLoadModel}
}
