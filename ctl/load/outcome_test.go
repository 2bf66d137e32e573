package load

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"io"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("the outcome of a stream", func() {
	sum := sha256.Sum256([]byte("body"))
	own := "data: " + hex.EncodeToString(sum[:]) + "\n\n"
	const refusal = "event: error\ndata: {\"kind\":\"stream_broken\",\"ran\":\"unknown\"}\n\n"

	// Guards against counting a truncated answer without an error event as one that has it.
	DescribeTable("is what its caller reads", func(body string, err error, result Result, kind string) {
		o := Outcome{Request: Request{Shape: ShapeStream, Body: []byte("body")}}
		o.judge(&http.Response{StatusCode: http.StatusOK}, []byte(body), err)
		Expect(o.Result).To(Equal(result))
		Expect(o.Kind).To(Equal(kind))
	},
		Entry("complete", own+"data: [DONE]\n\n", nil, Answered, ""),
		Entry("without its last event", own, nil, Wrong, ""),
		Entry("an error event alone", refusal, nil, Broken, "stream_broken"),
		Entry("an error event after an event", own+refusal, nil, Broken, "stream_broken"),
		Entry("an error event inside an event", own+"data: x"+refusal, nil, Wrong, ""),
		Entry("aborted inside an event", own+"data: x", io.ErrUnexpectedEOF, Broken, "connection_broken"),
		Entry("reset", own, errors.New("connection reset"), Broken, "connection_broken"),
	)
})
