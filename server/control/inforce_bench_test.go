package control_test

import (
	"fmt"
	"os"
	"slices"
	"sync"
	"testing"
	"time"

	"cowsliptiller/server/gen/operators"
	"cowsliptiller/server/view"
)

// BenchmarkInForce measures the time from the acceptance of a questionnaire to its
// being in force at the last of n followers, over three real control processes on
// loopback. It reports the median and the greatest of the runs, and the time until
// the submission was accepted. All followers share this machine's processors, so
// that with a questionnaire of Vaalkop's size most of the time is n times its
// parsing; the small one shows the distribution alone.
func BenchmarkInForce(b *testing.B) {
	text, err := os.ReadFile("../../examples/vaalkop.yaml")
	if err != nil {
		b.Fatal(err)
	}
	for _, n := range []int{10, 50, 200} {
		b.Run(fmt.Sprintf("small/%d", n), func(b *testing.B) { benchmarkInForce(b, n, questionnaire) })
		b.Run(fmt.Sprintf("vaalkop/%d", n), func(b *testing.B) { benchmarkInForce(b, n, string(text)) })
	}
}

func benchmarkInForce(b *testing.B, n int, text string) {
	c := newCluster(b, "")
	followers := make([]*view.Follower, n)
	for i := range followers {
		followers[i] = c.follow(fmt.Sprintf("entry-%d", i))
	}
	waitAll(followers, func(s *view.Snapshot) bool { return s != nil && len(s.Hosts) == n })
	revision := uint64(0)
	var accepted, inForce []time.Duration
	for b.Loop() {
		start := time.Now()
		out, err := c.hosts[1].role.Operators().Submit(background, &operators.SubmitPayload{
			Questionnaire: text + "# " + fmt.Sprint(revision), ReplacesRevision: revision, SubmissionID: fmt.Sprint("s", revision),
		})
		if err != nil {
			b.Fatal(err)
		}
		acceptedAt := time.Now()
		revision = out.Revision
		waitAll(followers, func(s *view.Snapshot) bool {
			return s.Configuration != nil && s.Configuration.Revision >= revision
		})
		accepted = append(accepted, acceptedAt.Sub(start))
		inForce = append(inForce, time.Since(acceptedAt))
	}
	slices.Sort(accepted)
	slices.Sort(inForce)
	ms := func(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
	b.ReportMetric(ms(accepted[len(accepted)/2]), "ms-accepted-p50")
	b.ReportMetric(ms(inForce[len(inForce)/2]), "ms-in-force-p50")
	b.ReportMetric(ms(inForce[len(inForce)-1]), "ms-in-force-max")
}

// waitAll returns once each follower's snapshot satisfies f.
func waitAll(followers []*view.Follower, f func(*view.Snapshot) bool) {
	var wg sync.WaitGroup
	for _, each := range followers {
		wg.Go(func() {
			for {
				changed := each.Changed()
				if f(each.Current()) {
					return
				}
				<-changed
			}
		})
	}
	wg.Wait()
}

// BenchmarkWithdraw measures how long the withdrawal of a key takes, to the answer
// that no entry host accepts it, with n followers that can all be reached.
func BenchmarkWithdraw(b *testing.B) {
	for _, n := range []int{10, 50, 200} {
		b.Run(fmt.Sprint(n), func(b *testing.B) { benchmarkWithdraw(b, n) })
	}
}

func benchmarkWithdraw(b *testing.B, n int) {
	c := newCluster(b, "")
	followers := make([]*view.Follower, n)
	for i := range followers {
		followers[i] = c.follow(fmt.Sprintf("entry-%d", i))
	}
	waitAll(followers, func(s *view.Snapshot) bool { return s != nil && len(s.Hosts) == n })
	ops := c.hosts[1].role.Operators()
	if _, err := ops.Submit(background, submitAs("first", 0)); err != nil {
		b.Fatal(err)
	}
	var took []time.Duration
	for b.Loop() {
		key, err := ops.GiveKey(background, &operators.GiveKeyPayload{Workspace: "w1", CommandID: fmt.Sprint(len(took))})
		if err != nil {
			b.Fatal(err)
		}
		start := time.Now()
		if _, err := ops.WithdrawKey(background, &operators.WithdrawKeyPayload{KeyID: key.KeyID}); err != nil {
			b.Fatal(err)
		}
		took = append(took, time.Since(start))
	}
	slices.Sort(took)
	b.ReportMetric(float64(took[len(took)/2].Microseconds())/1000, "ms-p50")
	b.ReportMetric(float64(took[len(took)-1].Microseconds())/1000, "ms-max")
}
