package wire_test

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/encoding/protodelim"
	"pgregory.net/rapid"

	"cowsliptiller/coord/fault"
	"cowsliptiller/server/rpc"
	"cowsliptiller/server/wire"
)

func TestWire(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "wire")
}

// frames encodes one response and returns the bytes of each frame.
func frames(t *rapid.T, attempt string, answer []byte) [][]byte {
	var out [][]byte
	var buffer bytes.Buffer
	w := wire.NewWriter(attempt, &buffer, func() error {
		out = append(out, slices.Clone(buffer.Bytes()))
		buffer.Reset()
		return nil
	})
	must(t, w.WriteAccepted(&rpc.Accepted{Status: 200}))
	for len(answer) > 0 {
		n := rapid.IntRange(1, len(answer)).Draw(t, "chunk")
		_, err := w.Write(answer[:n])
		must(t, err)
		answer = answer[n:]
	}
	must(t, w.End(&rpc.End{}))
	return out
}

func must(t *rapid.T, err error) {
	if err != nil {
		t.Fatal(err)
	}
}

// read returns the response body and whether the response was complete.
func read(attempt string, parts [][]byte) ([]byte, bool) {
	r := wire.NewReader(attempt, bytes.NewReader(bytes.Join(parts, nil)))
	var answer []byte
	for {
		f, err := r.Next()
		if err != nil {
			return answer, false
		}
		answer = append(answer, f.GetChunk()...)
		if f.GetEnd() != nil {
			return answer, true
		}
	}
}

// Guards against delivering a truncated response, or one that contains frames of
// another attempt, as complete. This happens when frames are lost, duplicated,
// reordered, misrouted or cut and the reader does not detect it.
func TestNothingButTheWholeAnswerIsWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		answer := rapid.SliceOfN(rapid.Byte(), 1, 200).Draw(t, "answer")
		parts := frames(t, "mine", answer)
		if got, complete := read("mine", parts); !complete || !bytes.Equal(got, answer) {
			t.Fatalf("an undamaged response was not read as complete")
		}
		damaged := damage(t, parts, answer)
		if got, complete := read("mine", damaged); complete && !bytes.Equal(got, answer) {
			t.Fatalf("a damaged response was read as complete")
		}
	})
}

func damage(t *rapid.T, parts [][]byte, answer []byte) [][]byte {
	damaged := slices.Clone(parts)
	at := rapid.IntRange(0, len(parts)-1).Draw(t, "at")
	switch rapid.IntRange(0, 4).Draw(t, "damage") {
	case 0: // a frame is lost
		return slices.Delete(damaged, at, at+1)
	case 1: // a frame is duplicated
		return slices.Insert(damaged, at, damaged[at])
	case 2: // two frames are swapped
		other := rapid.IntRange(0, len(parts)-1).Draw(t, "other")
		damaged[at], damaged[other] = damaged[other], damaged[at]
		return damaged
	case 3: // a frame is replaced by one of another attempt
		other := slices.Clone(answer)
		slices.Reverse(other)
		damaged[at] = frames(t, "other", other)[0]
		return damaged
	default: // the body is truncated
		cut := rapid.IntRange(0, len(damaged[at])-1).Draw(t, "cut")
		damaged[at] = damaged[at][:cut]
		return damaged[:at+1]
	}
}

// FuzzReader feeds arbitrary bytes to a Reader, which must return only the documented
// errors, without a panic or unbounded allocation.
func FuzzReader(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x7f})
	var one bytes.Buffer
	_, _ = protodelim.MarshalTo(&one, &rpc.Frame{Attempt: "a", Part: &rpc.Frame_Accepted{Accepted: &rpc.Accepted{Status: 200}}})
	f.Add(one.Bytes())
	f.Fuzz(func(t *testing.T, data []byte) {
		r := wire.NewReader("a", bytes.NewReader(data))
		for {
			if _, err := r.Next(); err != nil {
				if !errors.Is(err, io.EOF) && !fault.Is(err, fault.StreamBroken) {
					t.Fatalf("unexpected error %v", err)
				}
				return
			}
		}
	})
}

// FuzzReadHeader sets arbitrary header values, which must be accepted or rejected as
// fault.InvalidRequest.
func FuzzReadHeader(f *testing.F) {
	f.Add("Cowslip-Attempt", "%zz")
	f.Add("Cowslip-Left-Ms", "9223372036854775808")
	f.Fuzz(func(t *testing.T, name, value string) {
		h := http.Header{}
		sample().WriteHeader(h)
		h.Set(name, value)
		if _, err := wire.ReadHeader(h); err != nil && !fault.Is(err, fault.InvalidRequest) {
			t.Fatalf("unexpected error %v", err)
		}
	})
}

func sample() *wire.Request {
	return &wire.Request{
		Attempt: "a-1", ID: "a", Workspace: "labs", KeyID: "k", Class: "lookup", Priority: 1, Repeatable: true,
		Model: "m", Adapter: "ad", Path: "/v1/completions", Call: "17 ä\n", Fingerprint: []byte{1, 2},
		ContentType: "application/json", Timeout: 1500 * time.Millisecond, Tokens: 17, Weight: 5, Exclusive: true,
	}
}

var _ = Describe("the request headers", func() {
	It("decode to the request that was encoded", func() {
		h := http.Header{}
		sample().WriteHeader(h)
		got, err := wire.ReadHeader(h)
		Expect(err).NotTo(HaveOccurred())
		Expect(got).To(Equal(sample()))
	})

	It("are rejected when a required one is missing", func() {
		for _, name := range []string{"Cowslip-Attempt", "Cowslip-Key-Id", "Cowslip-Model", "Cowslip-Left-Ms", "Cowslip-Alone"} {
			h := http.Header{}
			sample().WriteHeader(h)
			h.Del(name)
			_, err := wire.ReadHeader(h)
			Expect(fault.Is(err, fault.InvalidRequest)).To(BeTrue(), name)
		}
	})
})

var _ = Describe("a failure frame", func() {
	It("preserves whether the request ran, and reports an unknown kind as not known to have run", func() {
		sent := fault.WithRan(fault.NewRetryAfter(fault.Overloaded, 2*time.Second, "full"), fault.RanNo, true)
		got := fault.From(wire.ErrorFromFailure(wire.FailureFromError(sent)))
		Expect(got.Kind).To(Equal(fault.Overloaded))
		Expect(got.Ran).To(Equal(fault.RanNo))
		Expect(got.RetryAfter).To(Equal(2 * time.Second))
		odd := fault.From(wire.ErrorFromFailure(&rpc.Failure{Kind: "invented", Ran: "no", Repeatable: true}))
		Expect(odd.Ran).To(Equal(fault.RanUnknown))
		Expect(odd.Repeatable).To(BeFalse())
	})
})
