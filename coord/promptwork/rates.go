package promptwork

import (
	"math"
	"slices"
	"strings"
	"time"
)

// Load pattern: targets do not announce how fast they process prompts, and the time to a first event includes
// the prompts of others.
// Without it: the work of a prompt is unknown, and a mean over all requests grows with the load that it
// is to predict.
// Rule: the 0.2 quantile of time to first event per prompt token, which is close to the time without others.

const (
	// minPromptTokens is the size from which a prompt's time to first event is mostly its processing.
	minPromptTokens = 300
	// maxPromptTokens bounds announced sizes, so that an invalid one does not make the sums overflow.
	maxPromptTokens = 1 << 20
	// promptQuantile is the quantile of the samples that is used.
	promptQuantile = 0.2
	// rateSamples is the number of the latest samples that are kept of a model and of a service.
	rateSamples = 64
	// minRateSamples is the number of samples from which a quantile is used: with fewer, one request that met
	// a busy target decides.
	minRateSamples = 5
	// maxRateKeys bounds the models that are kept; further ones use the value of their service.
	maxRateKeys = 2048
)

// Rates learns how long prompts take on a target of usual speed. Models are named "service:model". A model
// with few samples gets the value of all models of its service, as rare models run on the same targets.
type Rates struct {
	prompts map[string]*samples // seconds per prompt token, by "service:model" and by service
	steps   map[string]*samples // seconds per output token, by the same names
}

// NewRates returns Rates without samples.
func NewRates() *Rates {
	return &Rates{prompts: map[string]*samples{}, steps: map[string]*samples{}}
}

// PromptTime returns how long a target of usual speed processes a prompt of a model, named
// "service:model". It returns zero while that is not known.
func (r *Rates) PromptTime(model string, tokens int64) time.Duration {
	seconds := quantileOf(r.prompts, model) * float64(boundTokens(tokens))
	return time.Duration(seconds * float64(time.Second))
}

// RecordFirstEvent records that a request which found no queue at its target got its first event after a
// time. Speed is the target's speed factor: 1 is usual, 2 takes twice as long. Samples that say nothing
// (small prompts, invalid figures) are ignored.
func (r *Rates) RecordFirstEvent(model string, tokens int64, after time.Duration, speed float64) {
	if tokens < minPromptTokens || tokens > maxPromptTokens || after <= 0 || !validSpeed(speed) {
		return
	}
	perToken := r.withoutFirstEvent(model, after.Seconds()/speed) / float64(tokens)
	addSample(r.prompts, model, perToken)
}

// withoutFirstEvent returns the part of a time to the first event, in seconds at usual speed, that is not the
// generation of that event. Otherwise the value is 1.9 times too high at seven tokens per event and prompts of 1,100
// tokens. At least half remains, because the time per output token includes prompts of others.
func (r *Rates) withoutFirstEvent(model string, seconds float64) float64 {
	step := quantileOf(r.steps, model)
	return max(seconds/2, seconds-eventTokens*step)
}

// RecordRun records how long a target took from the first event of a response to its end, and how many tokens
// it generated in this time. Invalid figures are ignored.
func (r *Rates) RecordRun(model string, outputTokens int64, took time.Duration, speed float64) {
	if outputTokens <= 0 || took <= 0 || !validSpeed(speed) {
		return
	}
	addSample(r.steps, model, took.Seconds()/float64(outputTokens)/speed)
}

// addSample adds a sample to those of a model and of its service. A model beyond maxRateKeys is left out.
func addSample(all map[string]*samples, model string, v float64) {
	for _, name := range []string{serviceOf(model), model} {
		if all[name] == nil {
			if len(all) >= maxRateKeys && name != serviceOf(name) {
				return
			}
			all[name] = &samples{}
		}
		all[name].add(v)
	}
}

// quantileOf returns the quantile of a model's samples, else of its service's, 0 if neither has enough.
func quantileOf(all map[string]*samples, model string) float64 {
	if v := all[model].quantile(); v > 0 {
		return v
	}
	return all[serviceOf(model)].quantile()
}

// serviceOf returns the service of a "service:model".
func serviceOf(model string) string {
	service, _, _ := strings.Cut(model, ":")
	return service
}

func validSpeed(speed float64) bool { return speed > 0 && !math.IsInf(speed, 0) }

// samples are the latest samples of a value.
type samples struct {
	ring   []float64
	next   int
	value  float64 // the quantile, valid unless stale
	stale  bool
	sorted []float64 // scratch space
}

func (s *samples) add(v float64) {
	s.stale = true
	if len(s.ring) < rateSamples {
		s.ring = append(s.ring, v)
		return
	}
	s.ring[s.next] = v
	s.next = (s.next + 1) % rateSamples
}

// quantile returns the promptQuantile of the samples, 0 if there are too few.
func (s *samples) quantile() float64 {
	if s == nil || len(s.ring) < minRateSamples {
		return 0
	}
	if s.stale {
		s.sorted = append(s.sorted[:0], s.ring...)
		slices.Sort(s.sorted)
		s.value, s.stale = s.sorted[int(promptQuantile*float64(len(s.sorted)))], false
	}
	return s.value
}
