package soak

import (
	"fmt"
	"os/exec"
	"syscall"
	"testing"

	. "github.com/onsi/gomega"
)

// where returns the output of cowslipctl where for a request on an entry host.
func (c *explainFixture) where(entry, route string, flags ...string) string {
	args := []string{"where", "--token-file", c.fleet.tokenPath(), "--entry", entry, "--workspace", "w1"}
	for i := range entriesWithDisk {
		args = append(args, "--control", fmt.Sprintf("%s%d:%d", c.fleet.net, firstEntryOctet+i, portOperators))
	}
	text, err := exec.Command(c.ctlPath, append(append(args, flags...), route)...).CombinedOutput()
	if err != nil {
		return fmt.Sprintf("%v: %s", err, text)
	}
	return string(text)
}

// expectWhere waits until the explanation contains all parts, because tables follow changes of the
// targets within a second, and logs it.
func (c *explainFixture) expectWhere(t *testing.T, all []string, entry, route string, flags ...string) {
	var text string
	c.Eventually(func() bool {
		text = c.where(entry, route, flags...)
		for _, part := range all {
			if ok, _ := ContainSubstring(part).Match(text); !ok {
				return false
			}
		}
		return true
	}, recoveryTimeout).Should(BeTrue(), "%v", &lastOutput{&text})
	t.Log("\n" + text)
}

// lastOutput prints a text when it is needed, not when it is passed.
type lastOutput struct{ text *string }

func (l *lastOutput) String() string { return *l.text }

// An operator asks an entry host of a running fleet, by way of any control member, without a request.
func TestWhereShowsWhereARequestWouldGo(t *testing.T) {
	c := newExplainFixture(t, buildServer(t))
	last := fmt.Sprintf("entry-%d", entryCount)

	t.Run("to a target that holds its model", func(t *testing.T) {
		c.expectWhere(t, []string{last + ": send at i-", "held"}, last, "soak.example/once/x", "--model", "m1")
	})
	t.Run("as JSON", func(t *testing.T) {
		c.expectWhere(t, []string{`"Outcome": "send"`, `"DeploymentVersion": `, `"ModelState": "held"`}, last, "soak.example/once/x", "--model", "m1", "--json")
	})
	t.Run("to a target that would load its model", func(t *testing.T) {
		c.expectWhere(t, []string{": load at i-", "expected wait: ", `no target holds model "m4"`}, last, "soak.example/stream/x", "--model", "m4")
	})
	t.Run("slowly, because all targets that hold its model announce a rate limit", func(t *testing.T) {
		c.eachModelTarget(func(t *target) { t.announceLimit(0.5) })
		defer c.eachModelTarget((*target).endLimit)
		var text string
		c.Eventually(func() string {
			c.send(entryCount-1, "key-1", "/once/x", "m1") // each holder announces its limit in its own answers only
			text = c.where(last, "soak.example/once/x", "--model", "m1")
			return text
		}, recoveryTimeout).Should(And(ContainSubstring(": wait at i-"), ContainSubstring("takes 0.5 requests a second: it waits for a send time")))
		t.Log("\n" + text)
	})
	t.Run("nowhere, because no target is left", func(t *testing.T) {
		c.eachModelTarget(func(t *target) { t.restart(true) })
		defer c.eachModelTarget(func(t *target) { t.restart(false) })
		c.expectWhere(t, []string{": refuse", "kind no_capacity", `no target can load model "m4"`}, last, "soak.example/stream/x", "--model", "m4")
	})
	t.Run("unknown entry host", func(t *testing.T) {
		c.expectWhere(t, []string{`not_found: no entry host "entry-99" is registered`}, "entry-99", "soak.example/stream/x", "--model", "m1")
	})
	t.Run("unknown route", func(t *testing.T) {
		c.expectWhere(t, []string{"no route for host"}, last, "other.example/x")
	})
	t.Run("entry host that stands still", func(t *testing.T) {
		h := c.fleet.hosts[entryCount-1]
		h.signal(syscall.SIGSTOP)
		defer h.signal(syscall.SIGCONT)
		c.expectWhere(t, []string{fmt.Sprintf("entry host %q at", last), "did not answer (limit 1.5s)"}, last, "soak.example/stream/x", "--model", "m1")
	})
}
