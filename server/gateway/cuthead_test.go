package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cowsliptiller/platform"
)

// Request headers that select what cutting sends.
const (
	cutAt    = "Cut-At"    // number of bytes that are sent; absent: all
	cutReset = "Cut-Reset" // present: the connection is reset, else closed in order
)

// cutting is a target that sends a part of an answer and ends the connection.
func cutting(answer string) targetHandler {
	return func(w http.ResponseWriter, r *http.Request, _ int) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			panic(err)
		}
		text := answer
		if n, err := strconv.Atoi(r.Header.Get(cutAt)); err == nil {
			text = answer[:n]
		}
		_, _ = io.WriteString(conn, text)
		if r.Header.Get(cutReset) != "" {
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
		_ = conn.Close()
	}
}

const (
	cutHead  = "HTTP/1.1 200 OK\r\nConnection: close\r\nServer-Stamp: s\r\nRequest-Id: r-1\r\nContent-Type: application/json\r\n"
	cutBody  = `{"a":[1,2,3]}`
	cutEarly = "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"
)

// cutAnswers are complete answers with the body cutBody.
var cutAnswers = map[string]string{
	"with a length":          cutHead + "Content-Length: 13\r\n\r\n" + cutBody,
	"with a folded header":   cutHead + "X: a\r\n b\r\nContent-Length: 13\r\n\r\n" + cutBody,
	"with bare line feeds":   strings.ReplaceAll(cutHead+"Content-Length: 13\r\n\r\n", "\r", "") + cutBody,
	"in chunks":              cutHead + "Transfer-Encoding: chunked\r\n\r\n4\r\n" + cutBody[:4] + "\r\n9;x=y\r\n" + cutBody[4:] + "\r\n0\r\n\r\n",
	"in chunks and trailers": cutHead + "Trailer: A\r\nTransfer-Encoding: chunked\r\n\r\nd\r\n" + cutBody + "\r\n0\r\nA: b\r\nB: c\r\n\r\n",
	"after an early hint":    cutEarly + cutEarly + cutHead + "Content-Length: 13\r\n\r\n" + cutBody,
}

var _ = Describe("an answer cut at any byte", func() {
	for name, answer := range cutAnswers {
		for _, reset := range []string{"", "1"} {
			title := fmt.Sprintf("%s, then closed", name)
			if reset != "" {
				title = fmt.Sprintf("%s, then reset", name)
			}
			// Guards against a cut answer that reaches its caller as complete or as one that did not run, and
			// against one that counts as a crash.
			It("fails as one that may have run, "+title, func() {
				f := newFleet("plain", cutting(answer))
				for n := range len(answer) {
					headers := []string{cutAt, strconv.Itoa(n)}
					if reset != "" {
						headers = append(headers, cutReset, reset)
					}
					r := send(f.request("POST", "/order/", headers...))
					if r.status == http.StatusOK {
						Expect(r.err).To(HaveOccurred(), "cut at byte %d: %s", n, r.body)
						Expect(cutBody).To(HavePrefix(r.body))
					} else {
						Expect(r.status).To(Equal(http.StatusBadGateway), "cut at byte %d: %s", n, r.body)
						Expect(r.header.Get(platform.HeaderStamp)).To(BeEmpty())
					}
					Expect(f.arrivals()).To(Equal(2*n+1), "cut at byte %d", n)
					whole := send(f.request("POST", "/order/"))
					Expect(whole.err).NotTo(HaveOccurred())
					Expect(whole.summary()).To(Equal("200 " + cutBody))
				}
				f.wire.mu.Lock()
				defer f.wire.mu.Unlock()
				Expect(f.wire.crashes).To(BeEmpty())
			})
		}
	}

	// Guards against a cut head whose status or Not-Run header is taken for the target's word that it did
	// not run the request, which callers then send again.
	DescribeTable("is no refusal where its head is cut", func(head string) {
		cut, whole := cutting(head+"Content-Length: 4\r\n\r\nfull"), answer(http.StatusOK, "whole")
		f := newFleet("plain", func(w http.ResponseWriter, r *http.Request, n int) {
			if r.URL.Path == "/order/whole" {
				whole(w, r, n)
				return
			}
			cut(w, r, n)
		})
		for n := range len(head) + len("Content-Length: 4\r\n\r\n") {
			r := send(f.request("POST", "/order/", cutAt, strconv.Itoa(n)))
			Expect(r.status).To(Equal(http.StatusBadGateway), "cut at byte %d: %s", n, r.body)
			Expect(send(f.request("POST", "/order/whole")).status).To(Equal(http.StatusOK)) // closes the circuit
		}
		Expect(send(f.request("POST", "/order/")).status).To(BeElementOf(http.StatusServiceUnavailable, http.StatusMisdirectedRequest), "the whole head is one")
	},
		Entry("of a 503", "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nNot-Run: 1\r\nServer-Stamp: s\r\nRequest-Id: r-1\r\n"),
		Entry("of a 421", "HTTP/1.1 421 Misdirected Request\r\nConnection: close\r\nServer-Stamp: s\r\nRequest-Id: r-1\r\n"),
	)

	// Guards against a cut head or chunk that starts a stream, ends one or is joined with the answer of the
	// next target.
	It("is replaced by that of another target where the route allows it", func() {
		events := firstEvents + lastEvents
		text := strings.Replace(cutHead, "application/json", eventStream, 1) + "Transfer-Encoding: chunked\r\n\r\n"
		for _, event := range strings.SplitAfter(events, "\n\n") {
			text += fmt.Sprintf("%x\r\n%s\r\n", len(event), event) // the last one is empty: the end
		}
		var mu sync.Mutex
		seen := map[string]bool{}
		target := func(w http.ResponseWriter, r *http.Request, n int) {
			mu.Lock()
			at := r.URL.Path + r.Header.Get(cutAt)
			again := seen[at] || r.Header.Get(cutAt) == ""
			seen[at] = true
			mu.Unlock()
			if !again {
				cutting(text)(w, r, n)
				return
			}
			last, _ := strconv.Atoi(r.Header.Get(platform.HeaderLastEvent))
			rest := strings.Join(strings.SplitAfter(events, "\n\n")[last:], "")
			w.Header().Set("Connection", "close") // or the next request may be sent over it
			sendAnswer(w, eventStream, ending{framing: "length", text: rest})
		}
		for n := range len(text) {
			f := newFleet("models", target, target)                                    // a new one for each, or the circuits open
			Eventually(f.lines.String).Should(ContainSubstring("deployment_followed")) // no retry is granted before
			r := send(f.request("POST", "/stream/", platform.HeaderModel, "m", cutAt, strconv.Itoa(n)))
			Expect(r.err).NotTo(HaveOccurred(), "cut at byte %d", n)
			Expect(r.summary()).To(Equal("200 "+events), "cut at byte %d: %s\n%s", n, r.body, f.lines)
			r = send(f.request("POST", "/once/", platform.HeaderModel, "m", cutAt, strconv.Itoa(n)))
			expectBroken(r)
			Expect(r.status != http.StatusOK || strings.HasPrefix(events, r.body)).To(BeTrue(), "cut at byte %d: %s", n, r.body)
			Expect(f.arrivals()).To(Equal(3))
			Expect(f.gateway.Close()).To(Succeed())
		}
	})

	// Guards against a head whose rest never comes and whose request then counts as not run.
	DescribeTable("is awaited until the deadline", func(text string) {
		release := make(chan struct{})
		DeferCleanup(func() { close(release) })
		f := newFleet("plain", func(w http.ResponseWriter, r *http.Request, _ int) {
			conn, _, err := w.(http.Hijacker).Hijack()
			if err != nil {
				panic(err)
			}
			_, _ = io.WriteString(conn, text)
			<-release
			_ = conn.Close()
		})
		r := send(f.request("POST", "/order/", platform.HeaderDeadline, "200"))
		Expect(r.status).To(Equal(http.StatusGatewayTimeout), r.body)
		Expect(f.arrivals()).To(Equal(1))
	},
		Entry("in the status line", "HTTP/1.1 20"),
		Entry("in the status", "HTTP/1.1 200"),
		Entry("in a header's name", cutHead+"Content-Le"),
		Entry("in the length", cutHead+"Content-Length: 1"),
		Entry("in the last line", cutHead+"Content-Length: 0\r\n\r"),
		Entry("after an early hint", cutEarly),
		Entry("in the head after an early hint", cutEarly+"HTTP/1.1 200 OK\r\n"),
	)
})
