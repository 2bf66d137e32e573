package routing

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Rejection is why a target may not be chosen for a request; empty: it may.
type Rejection string

// The reasons, in the order in which they are checked.
const (
	RejectedUnreachable Rejection = "its host does not respond"
	RejectedLeaving     Rejection = "it leaves"
	RejectedBackoff     Rejection = "it requested a backoff"
	RejectedExcluded    Rejection = "it is excluded for this request"
	RejectedConstraint  Rejection = "its failure domain or software version is not allowed"
	RejectedLate        Rejection = "the request would end there after its deadline, and in time at another target"
	RejectedCircuit     Rejection = "its circuit is open"
	RejectedRecovering  Rejection = "it is recovering from failures and this request is not in its share"
)

// rejection returns why the choice may not take t. A NoProbe request needs a closed circuit; others
// get a recovering target's allowed share.
func (r *Router) rejection(t *target, c choice) Rejection {
	switch {
	case r.unreachable[t.name]:
		return RejectedUnreachable
	case r.Leaving(t.name, c.now):
		return RejectedLeaving
	case r.Backoff(t.name, c.now) != 0:
		return RejectedBackoff
	case slices.Contains(c.request.Exclude, t.name):
		return RejectedExcluded
	case !c.request.allows(t.view):
		return RejectedConstraint
	case c.inTime && t.late(c.request, c.now):
		return RejectedLate
	}
	share := t.circuit.allowedShare(r.settings, c.now)
	switch {
	case share == 0:
		return RejectedCircuit
	case c.request.NoProbe && share < 1, share <= c.sample:
		return RejectedRecovering
	}
	return ""
}

// Candidate is a target that serves a request's name, as the router sees it.
type Candidate struct {
	Target    string
	Rejection Rejection // empty: it may be chosen
	// EstimatedWait is the measure by which two candidates are compared: by Request.Cost, in seconds, else
	// without unit; see Router.estimatedWait.
	EstimatedWait float64
	Load          float64 // as a fraction of the target's limit
	InFlight      int     // this host's own requests there
	SlowdownRatio float64 // mean service time relative to the other targets of the name
	CircuitShare  float64 // of its usual requests that the circuit allows now
	Affinity      bool    // this host used it last for the request's prefix or adapter
	// ReportedAt is when its newest load was received; zero: none was.
	ReportedAt time.Time
}

// Candidates returns all targets that serve a request's name, sorted by target. A recovering target
// is not rejected unless the request is NoProbe: it gets a share of the requests. One that is RejectedLate may
// be chosen all the same if no other target is left.
func (r *Router) Candidates(q Request, now time.Time) []Candidate {
	set := r.sets[q.Name]
	if set == nil {
		return nil
	}
	c := choice{request: q, now: now, inTime: r.someLate(set, q, now)}
	recorded := r.affinity.lookup(q, now)
	out := make([]Candidate, 0, len(set.all))
	for _, t := range set.all {
		out = append(out, Candidate{
			Target: t.name, Rejection: r.rejection(t, c), EstimatedWait: r.cost(t, q, now), Load: t.load(now),
			InFlight: t.inFlight, SlowdownRatio: t.slowdown, CircuitShare: t.circuit.allowedShare(r.settings, now),
			Affinity: recorded == t.name, ReportedAt: t.reportedAt,
		})
	}
	return out
}

// Preview returns a router that shares r's state and decides as r would decide next: it has a copy of
// r's random source. Only methods that choose or read may be called on it, and only while no other
// method of r is called. A source other than PCG and ChaCha8 cannot be copied; the preview then draws
// from a fixed one.
func (r *Router) Preview() *Router {
	preview := *r
	preview.source = copySource(r.source)
	preview.rnd = rand.New(preview.source)
	return &preview
}

func copySource(s rand.Source) rand.Source {
	switch s := s.(type) {
	case *rand.PCG:
		c := *s
		return &c
	case *rand.ChaCha8:
		c := *s
		return &c
	}
	return rand.NewPCG(1, 1)
}
