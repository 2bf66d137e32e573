package view

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against an entry host that accepts a withdrawn key after its virtual machine was
// suspended for an hour, during which the monotonic clock stopped.
func TestALeaseEndsByTheWallClockToo(t *testing.T) {
	g := NewWithT(t)
	sent := time.Now()
	var l lease
	l.extend(sent.Add(time.Second))
	g.Expect(l.valid(sent, sent.Round(0))).To(BeTrue())
	g.Expect(l.valid(sent, sent.Round(0).Add(time.Hour))).To(BeFalse())
	g.Expect(l.valid(sent.Add(time.Second), sent.Round(0).Add(-time.Hour))).To(BeFalse())
	l.extend(sent)
	g.Expect(l.valid(sent, sent.Round(0))).To(BeTrue())
}
