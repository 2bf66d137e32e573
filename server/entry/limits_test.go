package entry_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"
	"github.com/prometheus/client_golang/prometheus"

	"cowsliptiller/standin/engine"
)

var _ = Describe("limits towards callers", func() {
	It("refuses requests over the number that a host holds, and takes them again later", func() {
		f := newFleet(0, "engine-1")
		f.settings.MaxRequests = 1
		f.addEntry()
		f.load("m1", "engine-1")
		f.targets["engine-1"].SetFaults(engine.Faults{ResponseDelayMS: time.Hour.Milliseconds()})
		ctx, cancel := context.WithCancel(context.Background())
		go func() {
			if res, err := f.open(ctx, ask{path: "/v1/completions", body: wholeBody}); err == nil {
				_ = res.Body.Close()
			}
		}()
		Eventually(f.targets["engine-1"].Executions).WithTimeout(generous).Should(HaveLen(1))
		got := f.send(ask{path: "/v1/completions", body: wholeBody})
		Expect(got.refusal().Kind).To(Equal("overloaded"))
		Expect(got.refusal().Ran).To(Equal("no"))
		cancel()
		f.targets["engine-1"].SetFaults(engine.Faults{})
		Eventually(func() int {
			return f.send(ask{path: "/v1/completions", body: wholeBody}).status
		}).WithTimeout(generous).Should(Equal(http.StatusOK))
	})

	It("refuses a header over its limit", func() {
		f := newFleet(1)
		got := f.send(ask{path: "/v1/completions", body: wholeBody, header: map[string]string{"X-Long": strings.Repeat("x", 64<<10)}})
		Expect(got.status).To(Equal(http.StatusRequestHeaderFieldsTooLarge))
	})

	// A request whose body says less than its head promised is not a request.
	It("does not run a request whose body broke off", func() {
		f := newFleet(1, "engine-1")
		f.load("m1", "engine-1")
		conn, err := net.Dial("tcp", f.entries[0].Address().String())
		Expect(err).NotTo(HaveOccurred())
		_, err = io.WriteString(conn, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "+labsKey+
			"\r\nContent-Length: 1000\r\n\r\n"+wholeBody)
		Expect(err).NotTo(HaveOccurred())
		Expect(conn.(*net.TCPConn).CloseWrite()).To(Succeed())
		_, err = io.ReadAll(conn)
		Expect(err).NotTo(HaveOccurred())
		Expect(f.targets["engine-1"].Executions()).To(BeEmpty())
	})

	It("answers one request after another on a connection", func() {
		f := newFleet(1, "engine-1")
		f.load("m1", "engine-1")
		client := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}
		for range 3 {
			req, err := http.NewRequest(http.MethodPost, "http://"+f.entries[0].Address().String()+"/v1/completions", strings.NewReader(wholeBody))
			Expect(err).NotTo(HaveOccurred())
			req.Header.Set("Authorization", "Bearer "+labsKey)
			res, err := client.Do(req)
			Expect(err).NotTo(HaveOccurred())
			Expect(res).To(HaveHTTPStatus(http.StatusOK))
			_, _ = io.Copy(io.Discard, res.Body)
			_ = res.Body.Close()
		}
	})
})

var _ = Describe("what a host tells of its requests", func() {
	// An operator reads a caller's key, or a customer's prompt, in a log.
	It("logs a request's id and never a key, a prompt or an answer", func() {
		log := gbytes.NewBuffer()
		f := newFleet(0)
		f.log = hclog.New(&hclog.LoggerOptions{Level: hclog.Trace, Output: log})
		f.addTarget("engine-1")
		f.addEntry()
		f.load("m1", "engine-1")
		answered := f.send(ask{path: "/v1/completions", body: wholeBody})
		f.targets["engine-1"].SetFaults(engine.Faults{TruncateResponse: true})
		f.send(ask{path: "/v1/completions", body: streamBody})
		f.send(ask{path: "/v1/completions", body: wholeBody, key: "a-guessed-key"})
		Eventually(log).WithTimeout(generous).Should(gbytes.Say(answered.header.Get("Request-Id")))
		text := log.Contents()
		for _, secret := range []string{labsKey, "a-guessed-key", "notes for the gate", "digest:"} {
			Expect(bytes.Contains(text, []byte(secret))).To(BeFalse(), secret)
		}
	})

	// A caller makes up names, and each became a series of its own until the
	// host's memory was full.
	It("has no series for what a caller makes up", func() {
		registry := prometheus.NewRegistry()
		f := newFleet(0, "engine-1")
		f.registry = registry
		f.addEntry()
		f.load("m1", "engine-1")
		f.send(ask{path: "/v1/completions", body: wholeBody})
		f.send(ask{path: "/v1/completions", body: `{"model":"made-up"}`})
		f.send(ask{path: "/v1/completions", body: wholeBody, header: map[string]string{"Cowslip-Class": "made-up"}})
		f.send(ask{path: "/v1/services/made-up/made-up", body: "{}", key: "made-up"})
		families, err := registry.Gather()
		Expect(err).NotTo(HaveOccurred())
		var names []string
		for _, family := range families {
			names = append(names, family.GetName())
		}
		Expect(names).To(ContainElements("cowslip_entry_requests_total", "cowslip_entry_request_duration_seconds",
			"cowslip_entry_first_byte_seconds", "cowslip_entry_attempts_total", "cowslip_entry_requests_held"))
		for _, family := range families {
			Expect(family.String()).NotTo(ContainSubstring("made-up"))
		}
	})
})
