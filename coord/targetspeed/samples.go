package targetspeed

import (
	"maps"
	"slices"
	"time"
)

const (
	// transientAge is the age up to which a sample shows a burst: bursts last 0.3 to 1 s.
	transientAge = 200 * time.Millisecond
	// transientRatio is the ratio of a sample to the lasting speed from which it shows a burst. Bursts
	// take 2.5 times as long as usual.
	transientRatio = 1.5
)

// Sample summarizes the percentages that a target announced in several responses.
type Sample struct {
	Instance   string
	Responses  uint32
	PercentSum float64
}

// Samples are the percentages that an entry host received and has not sent to the leader yet, and the
// newest one of each target.
type Samples struct {
	unsent map[string]Sample
	newest map[string]newest
}

type newest struct {
	percent float64
	at      time.Time
}

// NewSamples returns Samples without a sample.
func NewSamples() *Samples { return &Samples{unsent: map[string]Sample{}, newest: map[string]newest{}} }

// Record records what a target announced in a response; a percentage of 0 is none.
func (s *Samples) Record(instance string, percent float64, now time.Time) {
	if percent <= 0 {
		return
	}
	s.add(Sample{Instance: instance, Responses: 1, PercentSum: percent})
	s.newest[instance] = newest{percent, now}
}

func (s *Samples) add(one Sample) {
	sum := s.unsent[one.Instance]
	s.unsent[one.Instance] = Sample{one.Instance, sum.Responses + one.Responses, sum.PercentSum + one.PercentSum}
}

// Take returns the samples since the last call, in order of instance. If they do not reach the leader,
// they are to be returned by Return.
func (s *Samples) Take() []Sample {
	list := make([]Sample, 0, len(s.unsent))
	for _, instance := range slices.Sorted(maps.Keys(s.unsent)) {
		list = append(list, s.unsent[instance])
	}
	clear(s.unsent)
	return list
}

// Return adds samples that may not have reached the leader to the next ones. One that did reach it
// counts twice, which a mean over seconds tolerates.
func (s *Samples) Return(list []Sample) {
	for _, one := range list {
		s.add(one)
	}
}

// Retain drops the samples of instances for which keep returns false.
func (s *Samples) Retain(keep func(instance string) bool) {
	maps.DeleteFunc(s.unsent, func(instance string, _ Sample) bool { return !keep(instance) })
	maps.DeleteFunc(s.newest, func(instance string, _ newest) bool { return !keep(instance) })
}

// TransientUntil returns until when a target counts as being in a burst, given its lasting speed in
// percent; zero if its newest sample shows none or the lasting speed is not known (0).
func (s *Samples) TransientUntil(instance string, lasting float64) time.Time {
	n, ok := s.newest[instance]
	if !ok || lasting <= 0 || n.percent <= transientRatio*lasting {
		return time.Time{}
	}
	return n.at.Add(transientAge)
}
