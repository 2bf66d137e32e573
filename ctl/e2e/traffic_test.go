package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cowsliptiller/ctl/load"
)

// traffic sends a plan and, once so many requests have ended, does the fault
// while the rest goes on. It returns when both are over.
func traffic(p load.Plan, after int, fault func()) []load.Outcome {
	var once sync.Once
	faulted := make(chan struct{})
	begin := func() {
		once.Do(func() {
			go func() {
				defer GinkgoRecover()
				defer close(faulted)
				fault()
			}()
		})
	}
	if after == 0 {
		begin()
	}
	outcomes, err := load.Run(context.Background(), p, func(done, _ int) {
		if done < after {
			return
		}
		begin()
	})
	Expect(err).NotTo(HaveOccurred())
	Eventually(faulted, patience).Should(BeClosed(), "the fault never came")
	return outcomes
}

// warm sends one request for each model, so that a test of another fault does
// not also wait for loads.
func (f *fleet) warm(d deployment) {
	p := d.plan(f, 1000, 20, time.Second)
	outcomes, err := load.Run(context.Background(), p, nil)
	Expect(err).NotTo(HaveOccurred())
	judge(f, outcomes, f.executions(), longestDeadline)
}

// table prints what callers got, for the report of a failed test.
func table(outcomes []load.Outcome) string {
	var b strings.Builder
	load.Summarize(outcomes, time.Second).Write(&b)
	b.WriteString(timeline(outcomes))
	return b.String()
}

// status is how one control member stands.
type status struct {
	MemberID, LeaderID, Term, Commit, Applied, Revision, ConfigurationRevision uint64
}

func (f *fleet) status(i int) (status, error) {
	var s status
	out, err := f.ctlAt(f.operators[i:i+1], "status")
	if err != nil {
		return s, err
	}
	return s, json.Unmarshal([]byte(out), &s)
}

// leader returns the index of the control member that leads, asked of any that answers.
func (f *fleet) leader() int {
	found := -1
	Eventually(func() int {
		found = f.leaderBut(-1)
		return found
	}, patience, "50ms").Should(BeNumerically(">=", 0), "no leader")
	return found
}

// leaderBut asks every member but one who leads, and returns its index or -1.
func (f *fleet) leaderBut(except int) int {
	for i, p := range f.controls {
		if i == except || !p.running() {
			continue
		}
		if s, err := f.status(i); err == nil && s.LeaderID > 0 && int(s.LeaderID)-1 != except {
			return int(s.LeaderID) - 1
		}
	}
	return -1
}

func (f *fleet) waitOtherLeader(old int) {
	Eventually(func() int { return f.leaderBut(old) }, patience, "50ms").Should(BeNumerically(">=", 0), "no other leader")
}

// live reports whether control counts a host as live.
func (f *fleet) live(host string) bool {
	var list struct {
		Hosts []struct {
			Host string
			Live bool
		}
	}
	f.must(&list, "host", "list")
	for _, h := range list.Hosts {
		if h.Host == host {
			return h.Live
		}
	}
	return false
}

// freeze stops a process until the condition holds, then wakes it.
func freeze(p *process, until func() bool) {
	p.signal(syscall.SIGSTOP)
	defer p.signal(syscall.SIGCONT)
	Eventually(until, patience, "100ms").Should(BeTrue(), p.name+" stays frozen for nothing")
}

// crash makes a target lose all it holds; its record stays.
func (f *fleet) crash(i int) {
	resp, err := http.Post("http://"+f.standins[i]+"/crash", "", nil)
	Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	Expect(resp.StatusCode).To(Equal(http.StatusOK))
}

// answeredShare is the part of the requests that were answered.
func answeredShare(outcomes []load.Outcome) float64 {
	return float64(count(outcomes, load.Answered)) / float64(len(outcomes))
}

func at(entry string) string { return fmt.Sprintf("http://%s", entry) }
