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

// causes is a fleet whose failures are explained from its logs alone.
type causes struct {
	*WithT
	fleet   *fleet
	explain string // the operators' program
	serial  atomic.Int64
}

func newCauses(t *testing.T, binary string) *causes {
	c := &causes{WithT: NewWithT(t), explain: filepath.Join(t.TempDir(), "cowslipctl")}
	text, err := exec.Command("go", "build", "-o", c.explain, "../ctl/cmd/cowslipctl").CombinedOutput()
	c.Expect(err).NotTo(HaveOccurred(), "%s", text)
	c.fleet, err = newFleet(binary, t.TempDir())
	c.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(c.fleet.close)
	o := &operator{fleet: c.fleet, client: &http.Client{Transport: &http.Transport{}}}
	ctx, cancel := context.WithTimeout(context.Background(), comeBack)
	defer cancel()
	c.Expect(o.write(ctx, rand.New(rand.NewPCG(1, 1)), true)).To(BeTrue())
	for entry := range entries {
		c.Eventually(func() int { return c.ask(entry, "key-1", "/once/x", "m1").status }, comeBack).Should(Equal(http.StatusOK))
	}
	return c
}

// asked is one request and what its caller got.
type asked struct {
	id     string
	status int
	broken bool
}

// ask sends one request to an entry host.
func (c *causes) ask(entry int, key, path, model string) asked {
	a := asked{id: fmt.Sprintf("cause-%d", c.serial.Add(1))}
	ctx, cancel := context.WithTimeout(context.Background(), 4500*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s%d:%d%s", c.fleet.net, entryAddress+entry, portCallers, path), nil)
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
	a.broken = err != nil
	return a
}

// worst sends requests at once, and returns the one with the highest status.
func (c *causes) worst(n int, key, path string) asked {
	replies := make(chan asked, n)
	for range n {
		go func() { replies <- c.ask(entries-1, key, path, "") }()
	}
	var worst asked
	for range n {
		if a := <-replies; a.status > worst.status {
			worst = a
		}
	}
	return worst
}

// causeOf is what the operators' program says of a request, from all hosts' logs.
func (c *causes) causeOf(a asked) string {
	args := []string{"explain", a.id}
	for _, h := range c.fleet.hosts {
		args = append(args, h.log)
	}
	text, err := exec.Command(c.explain, args...).CombinedOutput()
	if err != nil {
		return fmt.Sprintf("%v: %s", err, text)
	}
	return string(text)
}

// says waits until the logs tell so much of a request: lines are written a moment after
// the answer.
func (c *causes) says(a asked, all ...string) {
	for _, part := range all {
		c.Eventually(func() string { return c.causeOf(a) }, comeBack).Should(ContainSubstring(part), "request %s", a.id)
	}
}

func (c *causes) models(do func(*target)) {
	for _, t := range c.fleet.targets[:modelTargets] {
		do(t)
	}
}

// A user complains, and an engineer on call has the request's id and the logs, nothing
// else. For each kind of failure the page's command must name what decided it.
func TestTheLogsTellTheCauseOfAFailedRequest(t *testing.T) {
	c := newCauses(t, build(t))

	t.Run("refused because its workspace is over its rate", func(t *testing.T) {
		var a asked
		c.Eventually(func() int {
			a = c.worst(4*limitedRate, limitedKey, "/lookup/x")
			return a.status
		}, comeBack).Should(Equal(http.StatusTooManyRequests))
		c.says(a, `kind="rate_limited"`, fmt.Sprintf("workspace %s is over its rate", limitedWorkspace), fmt.Sprintf("rate=%d", limitedRate), "retry_after_ms=")
	})

	t.Run("a stream that its target broke off and that may not go on elsewhere", func(t *testing.T) {
		c.models(func(t *target) { t.set("break") })
		defer c.models(func(t *target) { t.set("") })
		a := c.ask(entries-1, "key-1", "/once/x", "m1")
		c.Expect(a.broken).To(BeTrue())
		c.says(a, `kind="stream_broken"`, "attempt_failed", "again=false", "target=i-")
	})

	t.Run("refused because no target that could hold its model is left", func(t *testing.T) {
		c.models(func(t *target) { t.restart(true) })
		defer c.models(func(t *target) { t.restart(false) })
		var a asked
		c.Eventually(func() bool {
			a = c.ask(entries-1, "key-1", "/stream/x", "m2")
			return strings.Contains(c.causeOf(a), "no target can load model")
		}, comeBack).Should(BeTrue())
		c.Expect(a.status).To(Equal(http.StatusServiceUnavailable))
		c.says(a, `kind="no_capacity"`, "target_changed")
	})

	t.Run("refused because its host has lost touch with control", func(t *testing.T) {
		for _, h := range c.fleet.hosts[:entriesWithDisk] {
			h.signal(syscall.SIGSTOP)
			defer h.signal(syscall.SIGCONT)
		}
		var a asked
		c.Eventually(func() bool {
			a = c.ask(entries-1, "key-1", "/lookup/x", "")
			return a.status == http.StatusServiceUnavailable && strings.Contains(c.causeOf(a), `kind="stale"`)
		}, comeBack).Should(BeTrue())
		c.says(a, "dependency_lost", `dependency="board"`)
	})
}
