package placement_test

import (
	"fmt"
	"testing"
	"time"

	"cowsliptiller/coord/placement"
)

// BenchmarkPlan is one round: a fleet with half its models loaded and half of
// the others waiting.
func BenchmarkPlan(b *testing.B) {
	for _, size := range []struct{ models, targets int }{{65, 12}, {300, 190}, {300, 1900}, {1200, 1900}} {
		b.Run(fmt.Sprintf("models=%d/targets=%d", size.models, size.targets), func(b *testing.B) {
			w := newWorld(fleet(size.models, size.targets))
			for i := range size.models / 2 {
				w.load(fmt.Sprintf("m%03d", i))
			}
			b.ReportAllocs()
			for b.Loop() {
				w.pass(250 * time.Millisecond)
				list := make([]placement.Demand, 0, size.models)
				for i := range size.models {
					list = append(list, placement.Demand{Model: fmt.Sprintf("m%03d", i), Waiting: i % 2, EarliestDeadline: w.now.Add(10 * time.Second)})
				}
				w.planner.ObserveDemand("entry", list, w.now)
				w.planner.Plan(w.now)
			}
		})
	}
}
