package steward

import (
	"math"
	"time"

	"cowsliptiller/coord/promptwork"
	"cowsliptiller/platform"
)

// promptStep is the resolution of the prompt tokens per second in reports to control.
const promptStep = 1000

// promptMeter measures the prompt tokens that the target processes, in its present start.
type promptMeter struct {
	start string
	meter promptwork.Meter
}

// observe records the runs of a report that was read at now, in a start of the target.
func (m *promptMeter) observe(start string, runs []platform.Run, now time.Time) {
	if m.start != start {
		*m = promptMeter{start: start}
	}
	list := make([]promptwork.Run, len(runs))
	for i, r := range runs {
		list[i] = promptwork.Run{ID: r.ID, Tokens: r.Tokens, Events: r.Events}
	}
	m.meter.Observe(list, now)
}

// perSecond returns the mean over the last second, rounded to promptStep.
func (m *promptMeter) perSecond(now time.Time) uint32 {
	steps := math.Round(m.meter.PerSecond(now) / promptStep)
	return uint32(min(steps*promptStep, math.MaxUint32))
}
