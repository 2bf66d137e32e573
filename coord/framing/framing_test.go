package framing_test

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"cowsliptiller/coord/framing"
)

func TestFraming(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "framing")
}

// scan passes a text to a scanner in parts of size bytes, and returns the blocks that end at an
// empty line and what remains after the last one.
func scan(s *framing.EventScanner, text string, size int) (blocks []string, rest string) {
	for len(text) > 0 {
		part := text[:min(size, len(text))]
		n, boundary := s.Next([]byte(part))
		rest, text = rest+text[:n], text[n:]
		if boundary {
			blocks, rest = append(blocks, rest), ""
		}
	}
	return blocks, rest
}

var errReset = errors.New("connection reset")

var _ = Describe("the end of a stream of events", func() {
	// Guards against a stream that was broken off and is taken for complete, and against a
	// complete one that is taken for broken off.
	DescribeTable("is decided for each framing", func(text string, err error, length, chunked, untilClose framing.End) {
		for f, want := range map[framing.Framing]framing.End{framing.Length: length, framing.Chunked: chunked, framing.UntilClose: untilClose} {
			for _, size := range []int{1, 2, 3, 1000} {
				s := new(framing.EventScanner)
				scan(s, text, size)
				Expect(s.End(f, "text/event-stream", err)).To(Equal(want), fmt.Sprint(f, " in parts of ", size))
			}
		}
	},
		Entry("after an event", "id: 1\ndata: x\n\n", io.EOF, framing.Complete, framing.Complete, framing.Complete),
		Entry("after an event with CR LF", "id: 1\r\ndata: x\r\n\r\n", io.EOF, framing.Complete, framing.Complete, framing.Complete),
		Entry("after an event with CR", "id: 1\rdata: x\r\r", io.EOF, framing.Complete, framing.Complete, framing.Complete),
		Entry("after an event that begins with another field", "weight-versions: 2\nid: 1\ndata: x\n\n", io.EOF, framing.Complete, framing.Complete, framing.Complete),
		Entry("after more than one empty line", "data: x\n\n\n\n", io.EOF, framing.Complete, framing.Complete, framing.Complete),
		Entry("after a comment", "data: x\n\n: done\n", io.EOF, framing.Complete, framing.Complete, framing.Complete),
		Entry("inside a field", "data: x\n\nid: 2\nda", io.EOF, framing.InsideEvent, framing.InsideEvent, framing.InsideEvent),
		Entry("after a field", "data: x\n\nid: 2\n", io.EOF, framing.InsideEvent, framing.InsideEvent, framing.InsideEvent),
		Entry("after a field with CR LF", "data: x\r\n\r\nid: 2\r\n", io.EOF, framing.InsideEvent, framing.InsideEvent, framing.InsideEvent),
		Entry("between a field and a comment", "data: x\n\nid: 2\n: more\n", io.EOF, framing.InsideEvent, framing.InsideEvent, framing.InsideEvent),
		Entry("inside the first event", "i", io.EOF, framing.InsideEvent, framing.InsideEvent, framing.InsideEvent),
		Entry("inside a comment", "data: x\n\n: do", io.EOF, framing.InsideEvent, framing.InsideEvent, framing.InsideEvent),
		Entry("before the first event", "", io.EOF, framing.Complete, framing.Complete, framing.NoEvent),
		Entry("before the first event, after a comment", ": hello\n\n", io.EOF, framing.Complete, framing.Complete, framing.NoEvent),
		Entry("by a reset after an event", "data: x\n\n", errReset, framing.Interrupted, framing.Interrupted, framing.Interrupted),
		Entry("by a reset inside an event", "data", errReset, framing.Interrupted, framing.Interrupted, framing.Interrupted),
		Entry("by a close before the announced end", "data: x\n\n", io.ErrUnexpectedEOF, framing.Interrupted, framing.Interrupted, framing.Interrupted),
	)

	// Guards against an answer of another kind that is taken for a truncated stream, and against a
	// stream without a type of its own that is taken for such an answer.
	DescribeTable("depends on the type of the body", func(contentType string, framed, untilClose framing.End) {
		for f, want := range map[framing.Framing]framing.End{framing.Length: framed, framing.Chunked: framed, framing.UntilClose: untilClose} {
			s := new(framing.EventScanner)
			scan(s, "data: x\n\nid: 2\nda", 1000)
			Expect(s.End(f, contentType, io.EOF)).To(Equal(want), string(f))
			Expect(s.End(f, contentType, errReset)).To(Equal(framing.Interrupted), string(f))
		}
	},
		Entry("events", "text/event-stream; charset=utf-8", framing.InsideEvent, framing.InsideEvent),
		Entry("none", "", framing.InsideEvent, framing.InsideEvent),
		Entry("text", "text/plain; charset=utf-8", framing.Complete, framing.InsideEvent),
		Entry("another", "application/json", framing.Complete, framing.Complete),
	)

	// Guards against bytes that are lost, and events that are counted twice, where a read ends
	// inside a line end.
	It("does not depend on how its bytes arrive", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			ends := rapid.SampledFrom([]string{"\n", "\r\n", "\r"}).Draw(t, "line end")
			lines := rapid.SliceOf(rapid.SampledFrom([]string{"", "", "data: x", "id: 7", ": ping"})).Draw(t, "lines")
			text := strings.Join(lines, ends) + rapid.SampledFrom([]string{"", ends}).Draw(t, "last line end")
			whole, parts := new(framing.EventScanner), new(framing.EventScanner)
			blocks, rest := scan(whole, text, len(text)+1)
			blocksOfParts, restOfParts := scan(parts, text, rapid.IntRange(1, 5).Draw(t, "size"))
			if strings.Join(blocks, "")+rest != text || strings.Join(blocksOfParts, "")+restOfParts != text {
				t.Fatalf("bytes were lost: %q, %q", blocks, blocksOfParts)
			}
			if whole.Events() != parts.Events() || whole.InsideEvent() != parts.InsideEvent() || len(blocks) != len(blocksOfParts) {
				t.Fatalf("%q: %q and %q", text, blocks, blocksOfParts)
			}
		})
	})
})

var _ = Describe("the end of another body", func() {
	It("is complete unless reading it failed", func() {
		Expect(framing.EndOfBody(io.EOF)).To(Equal(framing.Complete))
		Expect(framing.EndOfBody(io.ErrUnexpectedEOF)).To(Equal(framing.Interrupted))
		Expect(framing.EndOfBody(errReset)).To(Equal(framing.Interrupted))
	})
})

var _ = Describe("an answer that looks complete", func() {
	// Guards against a sender that was ended in the middle of its answer, crashed or removed: its kernel closes
	// the connection in order.
	DescribeTable("is truncated if it ended with the connection of a process that does not run on", func(s framing.Sender, want framing.End) {
		probe := func() framing.Sender { return s }
		Expect(framing.Confirm(framing.UntilClose, probe)).To(Equal(want))
		Expect(framing.Confirm(framing.Length, probe)).To(Equal(framing.Complete))
		Expect(framing.Confirm(framing.Chunked, probe)).To(Equal(framing.Complete))
	},
		Entry("it runs on", framing.Sender{Liveness: framing.Running}, framing.Complete),
		Entry("it runs on and leaves", framing.Sender{Liveness: framing.Running, Leaving: true}, framing.Complete),
		Entry("it has ended", framing.Sender{Liveness: framing.Ended}, framing.SenderEnded),
		Entry("it has ended as announced", framing.Sender{Liveness: framing.Ended, Leaving: true}, framing.SenderEnded),
		Entry("its host does not respond", framing.Sender{Liveness: framing.Unresponsive}, framing.Complete),
		Entry("its host does not respond, and it leaves", framing.Sender{Liveness: framing.Unresponsive, Leaving: true}, framing.SenderSilent),
	)
})

var _ = Describe("the framing of a response", func() {
	It("is its length, its chunks, or the end of its connection", func() {
		Expect(framing.Of(0, nil)).To(Equal(framing.Length))
		Expect(framing.Of(-1, []string{"chunked"})).To(Equal(framing.Chunked))
		Expect(framing.Of(-1, nil)).To(Equal(framing.UntilClose))
	})

	It("may be that of events whatever the parameters of its type", func() {
		Expect(framing.IsEventStream("text/event-stream; charset=utf-8")).To(BeTrue())
		Expect(framing.IsEventStream("application/json")).To(BeFalse())
		Expect(framing.IsEventStream("")).To(BeFalse())
	})
})
