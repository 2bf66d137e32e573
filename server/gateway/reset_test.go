package gateway_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/deployment"
	"cowsliptiller/platform"
	"cowsliptiller/server/dial"
	"cowsliptiller/server/view"

	"google.golang.org/protobuf/proto"
)

// uploaded is longer than the socket buffers of a connection.
var uploaded = make([]byte, 8<<20)

// acceptLongBodies lifts the fleet's limit of bodies.
func (f *fleet) acceptLongBodies() {
	f.source.mu.Lock()
	defer f.source.mu.Unlock()
	d := proto.Clone(f.source.current.Deployment).(*coordpb.Deployment)
	d.Limits.BodyBytes = int64(len(uploaded))
	f.source.current = &view.Snapshot{Revision: 2, Deployment: d, Routes: deployment.NewIndex(d), EntryHosts: f.source.current.EntryHosts}
}

// addConnTarget adds a target that handles connections by itself.
func (f *fleet) addConnTarget(instance, service string, handle func(c net.Conn, r *http.Request)) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	go func() {
		for c, err := l.Accept(); err == nil; c, err = l.Accept() {
			go func() {
				defer c.Close()
				if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					handle(c, r)
				}
			}()
		}
	}()
	f.addTargetAt(instance, service, l.Addr().String())
}

// resetting writes text before it has read the request's body, and resets the connection soon after.
func resetting(text string) func(net.Conn, *http.Request) {
	return func(c net.Conn, _ *http.Request) {
		_, _ = io.WriteString(c, text)
		<-time.After(10 * time.Millisecond)
		dial.Abort(c)
	}
}

// upload returns a long request.
func (f *fleet) upload(path string, headers ...string) *http.Request {
	r := f.request("POST", path, headers...)
	r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(uploaded)), int64(len(uploaded))
	return r
}

var _ = Describe("an answer whose connection is reset while the request is being sent", func() {
	// Guards against a part of an answer that reaches its caller as complete.
	DescribeTable("does not look complete", func(service, path, text string) {
		for range 5 {
			f := newFleet(service)
			f.acceptLongBodies()
			f.addConnTarget("i-1", service, resetting(text))
			resp, err := sendWithin(context.Background(), f.upload(path, platform.HeaderModel, "m"))
			if err != nil {
				continue // the caller has seen that the answer broke off
			}
			body, err := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			expectBroken(reply{status: resp.StatusCode, body: string(body), err: err})
		}
	},
		Entry("without a length", "plain", "/order/", "HTTP/1.1 200 OK"+typeJSON+"\r\n{}"),
		Entry("of HTTP/1.0", "plain", "/order/", "HTTP/1.0 200 OK"+typeJSON+"\r\n{}"),
		Entry("between two events", "models", "/once/", "HTTP/1.1 200 OK"+typeEvents+"\r\n"+firstEvents),
		Entry("of a failure", "plain", "/order/", "HTTP/1.1 500 Failed"+typeJSON+"\r\n{}"),
	)

	// Guards against a part of an answer that is forwarded in place of another target's whole answer.
	It("is replaced by another target's answer where the call may be repeated", func() {
		f := newFleet("plain", answer(200, "whole"))
		f.acceptLongBodies()
		f.addConnTarget("i-2", "plain", resetting("HTTP/1.1 200 OK"+typeJSON+"\r\n{}"))
		for range 10 {
			r := send(f.upload("/lookup/"))
			Expect(r.err).NotTo(HaveOccurred())
			Expect(r.body).To(Equal("whole"))
		}
	})

	// Guards against a stream that ends early because its target broke off between two events.
	It("is resumed where it is a stream", func() {
		f := newFleet("models", func(w http.ResponseWriter, r *http.Request, _ int) {
			if r.Header.Get(platform.HeaderLastEvent) == "2" {
				sendAnswer(w, eventStream, ending{framing: "none", text: lastEvents})
				return
			}
			sendAnswer(w, eventStream, ending{framing: "none", text: firstEvents + lastEvents})
		})
		f.acceptLongBodies()
		f.addConnTarget("i-2", "models", resetting("HTTP/1.1 200 OK"+typeEvents+"\r\n"+firstEvents))
		for range 5 {
			r := send(f.upload("/stream/", platform.HeaderModel, "m"))
			Expect(r.err).NotTo(HaveOccurred())
			Expect(r.body).To(Equal(firstEvents + lastEvents))
		}
	})

	// Guards against failing a complete answer because its request was not read to its end.
	It("is complete with a length", func() {
		f := newFleet("plain")
		f.acceptLongBodies()
		f.addConnTarget("i-1", "plain", resetting("HTTP/1.1 200 OK"+typeJSON+"Content-Length: 2\r\n\r\n{}"))
		r := send(f.upload("/order/"))
		Expect(r.err).NotTo(HaveOccurred())
		Expect(r.summary()).To(Equal("200 {}"))
	})
})
