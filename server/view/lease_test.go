package view

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// A virtual machine is suspended for an hour with an entry host in it. Its monotonic
// clock stood still; a key was withdrawn meanwhile.
func TestALeaseEndsByTheWallClockToo(t *testing.T) {
	g := NewWithT(t)
	sent := time.Now()
	var l lease
	l.extend(sent.Add(time.Second))
	g.Expect(l.holds(sent, sent.Round(0))).To(BeTrue())
	g.Expect(l.holds(sent, sent.Round(0).Add(time.Hour))).To(BeFalse())
	g.Expect(l.holds(sent.Add(time.Second), sent.Round(0).Add(-time.Hour))).To(BeFalse())
	l.extend(sent)
	g.Expect(l.holds(sent, sent.Round(0))).To(BeTrue())
}
