package load

import (
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"time"
)

// Shape is how one kind of request looks on the wire.
type Shape string

// The shapes of a mix.
const (
	ShapeWhole   Shape = "whole"   // a completion answered whole
	ShapeStream  Shape = "stream"  // a completion answered as server-sent events
	ShapeService Shape = "service" // a repeatable call of a plain service
	ShapeOnce    Shape = "once"    // a call that may not be repeated, with an idempotency key
)

// Plan describes the traffic. The same plan and seed give the same requests at
// the same times.
type Plan struct {
	Entries     []string          // http://IP:port
	Keys        map[string]string // workspace -> key
	Models      []string          // models and adapters, the most used first
	Mix         map[Shape]int     // weights
	ServicePath string            // service/path of a repeatable call
	OncePath    string            // service/path of a call that may not be repeated
	Class       map[Shape]string  // Cowslip-Class; empty: the default
	Rate        float64           // requests a second over all workspaces
	Duration    time.Duration
	Timeout     time.Duration // after which an unanswered request counts as lost
	MaxTokens   int
	Skew        float64 // exponent of the popularity of models; 0: all alike
	Seed        uint64
	Direct      bool // Entries are targets: no key is sent
}

// Request is one request of a plan.
type Request struct {
	Number    int
	At        time.Duration // since the start
	Entry     string
	Workspace string
	Shape     Shape
	Path      string
	Class     string
	Key       string // idempotency key
	Body      []byte
}

// schedule draws the whole plan in advance.
func (p Plan) schedule() []Request {
	rng := rand.New(rand.NewPCG(p.Seed, p.Seed^0x9e3779b97f4a7c15))
	workspaces := slices.Sorted(maps.Keys(p.Keys))
	shapes := slices.Sorted(maps.Keys(p.Mix))
	popularity := zipf(len(p.Models), p.Skew)
	var requests []Request
	for at := p.gap(rng); at < p.Duration; at += p.gap(rng) {
		r := Request{
			Number:    len(requests),
			At:        at,
			Entry:     p.Entries[rng.IntN(len(p.Entries))],
			Workspace: workspaces[rng.IntN(len(workspaces))],
			Shape:     p.draw(rng, shapes),
		}
		model := ""
		if len(p.Models) > 0 {
			model = p.Models[pick(rng, popularity)]
		}
		p.fill(&r, model)
		requests = append(requests, r)
	}
	return requests
}

func (p Plan) gap(rng *rand.Rand) time.Duration {
	return time.Duration(rng.ExpFloat64() / p.Rate * float64(time.Second))
}

func (p Plan) draw(rng *rand.Rand, shapes []Shape) Shape {
	total := 0
	for _, s := range shapes {
		total += p.Mix[s]
	}
	n := rng.IntN(total)
	for _, s := range shapes {
		n -= p.Mix[s]
		if n < 0 {
			return s
		}
	}
	return shapes[len(shapes)-1]
}

func (p Plan) fill(r *Request, model string) {
	r.Class = p.Class[r.Shape]
	switch r.Shape {
	case ShapeService:
		r.Path = p.servicePath(p.ServicePath)
		r.Body = fmt.Appendf(nil, `{"lookup":%d,"seed":%d}`, r.Number, p.Seed)
	case ShapeOnce:
		r.Path = p.servicePath(p.OncePath)
		r.Key = fmt.Sprintf("call-%d-%d", p.Seed, r.Number)
		r.Body = fmt.Appendf(nil, `{"confirm":%d,"seed":%d}`, r.Number, p.Seed)
	default:
		r.Path = "/v1/completions"
		r.Body, _ = json.Marshal(map[string]any{
			"model":      model,
			"prompt":     fmt.Sprintf("request %d of seed %d", r.Number, p.Seed),
			"max_tokens": p.MaxTokens,
			"stream":     r.Shape == ShapeStream,
		})
	}
}

func (p Plan) servicePath(path string) string {
	if p.Direct {
		return "/" + path
	}
	return "/v1/services/" + path
}

// zipf returns cumulative weights in which the n-th most used model has 1/n^s.
func zipf(n int, s float64) []float64 {
	cumulative := make([]float64, n)
	sum := 0.0
	for i := range cumulative {
		sum += math.Pow(float64(i+1), -s)
		cumulative[i] = sum
	}
	return cumulative
}

func pick(rng *rand.Rand, cumulative []float64) int {
	x := rng.Float64() * cumulative[len(cumulative)-1]
	return min(sort.SearchFloat64s(cumulative, x), len(cumulative)-1)
}
