package connlimit_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cowsliptiller/coord/connlimit"
)

func TestConnLimit(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "connlimit")
}

var _ = Describe("connections beyond the limit", func() {
	now := time.Unix(1000, 0)
	at := func(p connlimit.Phase, age time.Duration) connlimit.Connection {
		return connlimit.Connection{Phase: p, Since: now.Add(-age)}
	}

	// Guards against connections without a request that use up the limit, and against ending a request.
	It("replace those without a request, the silent ones first", func() {
		all := []connlimit.Connection{
			at(connlimit.Busy, time.Hour), at(connlimit.Idle, time.Minute), at(connlimit.Header, 2*time.Second),
			at(connlimit.Silent, 2*time.Second), at(connlimit.Silent, 3*time.Second), at(connlimit.Silent, connlimit.MinAge/2),
		}
		Expect(connlimit.Replaceable(all, 10, connlimit.MinAge, now)).To(Equal([]int{4, 3, 2, 1}))
		Expect(connlimit.Replaceable(all, 1, connlimit.MinAge, now)).To(Equal([]int{4}))
	})

	// Guards against the end of connections that clients are about to reuse.
	It("leave idle ones while there are enough others", func() {
		all := []connlimit.Connection{at(connlimit.Idle, time.Minute), at(connlimit.Silent, 0), at(connlimit.Header, 0)}
		Expect(connlimit.Replaceable(all, 2, connlimit.MinAge, now)).To(BeEmpty())
		Expect(connlimit.Replaceable(all, 3, connlimit.MinAge, now)).To(Equal([]int{0}))
	})

	It("leave descriptors for files and own calls", func() {
		for _, files := range []int{1300, 3900, 1 << 20} {
			s := connlimit.SharesOf(files)
			Expect(s.Callers + 5*s.Other).To(BeNumerically("<=", files*2/3))
		}
	})
})
