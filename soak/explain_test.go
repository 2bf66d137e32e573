package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"cowsliptiller/platform"
)

// explainFixture is a fleet whose failed requests are explained from its logs alone.
type explainFixture struct {
	*WithT
	fleet   *fleet
	ctlPath string // path of cowslipctl
	nextID  atomic.Int64
}

func newExplainFixture(t *testing.T, binary string) *explainFixture {
	c := &explainFixture{WithT: NewWithT(t), ctlPath: filepath.Join(t.TempDir(), "cowslipctl")}
	text, err := exec.Command("go", "build", "-o", c.ctlPath, "../ctl/cmd/cowslipctl").CombinedOutput()
	c.Expect(err).NotTo(HaveOccurred(), "%s", text)
	c.fleet, err = newFleet(binary, t.TempDir())
	c.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(c.fleet.close)
	o := &operator{fleet: c.fleet, client: &http.Client{Transport: &http.Transport{}}}
	ctx, cancel := context.WithTimeout(context.Background(), recoveryTimeout)
	defer cancel()
	c.Expect(o.write(ctx, rand.New(rand.NewPCG(1, 1)), true)).To(BeTrue())
	for entry := range entryCount {
		c.Eventually(func() int { return c.send(entry, "key-1", "/once/x", "m1").status }, recoveryTimeout).Should(Equal(http.StatusOK))
	}
	return c
}

// response is the id of a request and the result that its client got.
type response struct {
	id        string
	status    int
	truncated bool
}

// send sends one request to an entry host.
func (c *explainFixture) send(entry int, key, path, model string) response {
	a := response{id: fmt.Sprintf("cause-%d", c.nextID.Add(1))}
	ctx, cancel := context.WithTimeout(context.Background(), 4500*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s%d:%d%s", c.fleet.net, firstEntryOctet+entry, portCallers, path), nil)
	c.Expect(err).NotTo(HaveOccurred())
	req.Host = "soak.example"
	req.Header.Set(platform.HeaderRequestID, a.id)
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set(platform.HeaderDeadline, "4000")
	if model != "" {
		req.Header.Set(platform.HeaderModel, model)
	}
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		return a
	}
	defer resp.Body.Close()
	a.status = resp.StatusCode
	_, err = io.Copy(io.Discard, resp.Body)
	a.truncated = err != nil
	return a
}

// sendBurst sends n requests concurrently and returns the response with the highest
// status.
func (c *explainFixture) sendBurst(n int, key, path string) response {
	replies := make(chan response, n)
	for range n {
		go func() { replies <- c.send(entryCount-1, key, path, "") }()
	}
	var worst response
	for range n {
		if a := <-replies; a.status > worst.status {
			worst = a
		}
	}
	return worst
}

// explainRequest returns the output of cowslipctl explain for a request, from the logs of
// all hosts.
func (c *explainFixture) explainRequest(a response) string {
	args := []string{"explain", a.id}
	for _, h := range c.fleet.hosts {
		args = append(args, h.logPath)
	}
	text, err := exec.Command(c.ctlPath, args...).CombinedOutput()
	if err != nil {
		return fmt.Sprintf("%v: %s", err, text)
	}
	return string(text)
}

// expectExplained waits until the explanation contains all parts, because log lines may be
// written shortly after the response.
func (c *explainFixture) expectExplained(a response, all ...string) {
	for _, part := range all {
		c.Eventually(func() string { return c.explainRequest(a) }, recoveryTimeout).Should(ContainSubstring(part), "request %s", a.id)
	}
}

func (c *explainFixture) eachModelTarget(do func(*target)) {
	for _, t := range c.fleet.targets[:modelTargets] {
		do(t)
	}
}

// An on-call engineer has only the request id and the logs. For each type of failure,
// cowslipctl explain must name the cause.
func TestTheLogsTellTheCauseOfAFailedRequest(t *testing.T) {
	c := newExplainFixture(t, buildServer(t))

	t.Run("refused because its workspace is over its rate", func(t *testing.T) {
		var a response
		c.Eventually(func() int {
			a = c.sendBurst(4*limitedRate, limitedKey, "/lookup/x")
			return a.status
		}, recoveryTimeout).Should(Equal(http.StatusTooManyRequests))
		c.expectExplained(a, `kind="rate_limited"`, fmt.Sprintf("workspace %s is over its rate", limitedWorkspace), fmt.Sprintf("rate=%d", limitedRate), "retry_after_ms=")
	})

	t.Run("a stream that its target broke off and that may not go on elsewhere", func(t *testing.T) {
		c.eachModelTarget(func(t *target) { t.setFailureMode("break") })
		defer c.eachModelTarget(func(t *target) { t.setFailureMode("") })
		a := c.send(entryCount-1, "key-1", "/once/x", "m1")
		c.Expect(a.truncated).To(BeTrue())
		c.expectExplained(a, `kind="stream_broken"`, "attempt_failed", "again=false", "target=i-")
	})

	t.Run("refused because no target that could hold its model is left", func(t *testing.T) {
		c.eachModelTarget(func(t *target) { t.restart(true) })
		defer c.eachModelTarget(func(t *target) { t.restart(false) })
		var a response
		c.Eventually(func() bool {
			a = c.send(entryCount-1, "key-1", "/stream/x", "m2")
			return strings.Contains(c.explainRequest(a), "no target can load model")
		}, recoveryTimeout).Should(BeTrue())
		c.Expect(a.status).To(Equal(http.StatusServiceUnavailable))
		c.expectExplained(a, `kind="no_capacity"`, "target_changed")
	})

	t.Run("refused because its host has lost touch with control", func(t *testing.T) {
		for _, h := range c.fleet.hosts[:entriesWithDisk] {
			h.signal(syscall.SIGSTOP)
			defer h.signal(syscall.SIGCONT)
		}
		var a response
		c.Eventually(func() bool {
			a = c.send(entryCount-1, "key-1", "/lookup/x", "")
			return a.status == http.StatusServiceUnavailable && strings.Contains(c.explainRequest(a), `kind="stale"`)
		}, recoveryTimeout).Should(BeTrue())
		c.expectExplained(a, "dependency_lost", `dependency="board"`)
	})
}
