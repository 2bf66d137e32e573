package request_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cowsliptiller/coord/request"
)

var _ = Describe("estimated queueing delay between two reports of a target", func() {
	// Guards against refusing requests for a queue of requests that have ended, when the connections of
	// a zone go to one host: all that it sends since a report counts then.
	It("does not count requests that have ended", func() {
		b := request.NewBacklog()
		b.RecordRun("s", 200*time.Millisecond)
		for range 100 {
			b.RecordStart("t")
			b.RecordEnd("t")
		}
		Expect(b.Wait("t", "s", 4, 0, 4)).To(BeZero())
		b.RecordStart("t")
		Expect(b.Wait("t", "s", 4, 0, 4)).To(Equal(50 * time.Millisecond))
	})

	It("is less by the requests of the report that have ended", func() {
		b := request.NewBacklog()
		b.RecordRun("s", 200*time.Millisecond)
		b.RecordEnd("t")
		Expect(b.Wait("t", "s", 4, 2, 4)).To(Equal(50 * time.Millisecond))
		b.RecordEnd("t")
		b.RecordEnd("t")
		Expect(b.Wait("t", "s", 4, 2, 4)).To(BeZero())
		b.ResetStarts()
		Expect(b.Wait("t", "s", 4, 2, 4)).To(Equal(100 * time.Millisecond))
	})
})
