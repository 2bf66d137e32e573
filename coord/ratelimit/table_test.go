package ratelimit_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"cowsliptiller/coord/ratelimit"
)

var start = time.Unix(1_700_000_000, 0)

// Guards against an old answer, passed on by another host, that replaces a newer one.
func TestNewestObservationIsValid(t *testing.T) {
	g := NewWithT(t)
	table := ratelimit.NewTable()
	limited := ratelimit.Observation{Limited: true, PerSecond: 1.8, At: start}
	g.Expect(table.Observe("t", limited)).To(BeTrue())
	limited.At = start.Add(time.Second)
	g.Expect(table.Observe("t", limited)).To(BeFalse(), "the same limit again")
	g.Expect(table.Observe("t", ratelimit.Observation{At: start.Add(2 * time.Second)})).To(BeTrue())
	g.Expect(table.Observe("t", limited)).To(BeFalse())
	g.Expect(table.Get("t").Limited).To(BeFalse())
	g.Expect(table.Limited()).To(Equal(0))
}

func TestRetainDropsTargetsThatAreGone(t *testing.T) {
	g := NewWithT(t)
	table := ratelimit.NewTable()
	for _, target := range []string{"gone", "kept"} {
		table.Observe(target, ratelimit.Observation{Limited: true, PerSecond: 1, At: start})
	}
	table.Retain(func(target string) bool { return target == "kept" })
	g.Expect(table.Get("gone").Limited).To(BeFalse())
	g.Expect(table.Get("kept").Limited).To(BeTrue())
}
