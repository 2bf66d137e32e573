package placement_test

import (
	"fmt"
	"testing"
	"time"

	"cowsliptiller/coord/placement"
)

// BenchmarkPlan measures one planning round with half of the models loaded and half of the
// others requested.
func BenchmarkPlan(b *testing.B) {
	for _, size := range []struct{ models, targets int }{{65, 12}, {300, 190}, {300, 1900}, {1200, 1900}} {
		b.Run(fmt.Sprintf("models=%d/targets=%d", size.models, size.targets), func(b *testing.B) {
			h := newHarness(newConfig(size.models, size.targets))
			for i := range size.models / 2 {
				h.loadModels(fmt.Sprintf("m%03d", i))
			}
			b.ReportAllocs()
			for b.Loop() {
				h.advance(250 * time.Millisecond)
				list := make([]placement.Demand, 0, size.models)
				for i := range size.models {
					list = append(list, placement.Demand{Model: fmt.Sprintf("m%03d", i), Waiting: i % 2, EarliestDeadline: h.now.Add(10 * time.Second)})
				}
				h.planner.ObserveDemand("entry", list, h.now)
				h.planner.Plan(h.now)
			}
		})
	}
}
