package node_test

import (
	"context"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"cowsliptiller/coord/consensus"
	"cowsliptiller/coord/coordpb"
	"cowsliptiller/server/node"
	"cowsliptiller/server/store"
)

// The figures of docs/design/consensus.md come from:
//
//	go test ./node -run '^$' -bench . -benchtime 2s

// BenchmarkCommit gives commits a second of a group of three, by callers at once.
func BenchmarkCommit(b *testing.B) {
	for _, callers := range []int{1, 8, 64} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			RegisterTestingT(b)
			g := startGroup(3)
			defer g.close()
			l := leader(g.hosts...)
			b.ResetTimer()
			work := make(chan int)
			var running sync.WaitGroup
			for range callers {
				running.Go(func() {
					for i := range work {
						if _, err := l.node.Propose(context.Background(), command(i)); err != nil {
							b.Error(err)
						}
					}
				})
			}
			for i := range b.N {
				work <- i
			}
			close(work)
			running.Wait()
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commits/s")
		})
	}
}

// BenchmarkSyncEach is what the disk gives when each entry has its own sync.
func BenchmarkSyncEach(b *testing.B) {
	RegisterTestingT(b)
	s, err := store.Open(filepath.Join(b.TempDir(), "data"), store.Options{})
	Expect(err).NotTo(HaveOccurred())
	Expect(s.Create(store.Identity{Member: 1}, consensus.Bootstrap(nil))).To(Succeed())
	b.ResetTimer()
	for i := range b.N {
		e := &coordpb.Entry{Index: uint64(i) + 1, Term: 1, Data: []byte("0123456789")}
		Expect(s.Save(&consensus.Write{HardState: &coordpb.HardState{Term: 1}, Entries: []*coordpb.Entry{e}, Sync: true})).To(Succeed())
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commits/s")
	Expect(s.Close()).To(Succeed())
}

// BenchmarkLeaderLoss gives the time from a leader's loss until another may act,
// in least election timeouts.
func BenchmarkLeaderLoss(b *testing.B) {
	RegisterTestingT(b)
	g := startGroup(3)
	defer g.close()
	const timeout = 10 * testTick
	var total, worst time.Duration
	for i := range b.N {
		g.propose(i)
		old := leader(g.hosts...)
		rest := g.others(old)
		start := time.Now()
		old.setCut(true)
		for !rest[0].node.Status().Leading && !rest[1].node.Status().Leading {
			time.Sleep(time.Millisecond)
		}
		took := time.Since(start)
		total, worst = total+took, max(worst, took)
		old.setCut(false)
		Eventually(func() uint64 { return old.node.Status().Leader }).WithTimeout(patience).ShouldNot(Or(BeZero(), Equal(old.member.Id)))
	}
	b.ReportMetric(total.Seconds()/float64(b.N)/timeout.Seconds(), "timeouts/mean")
	b.ReportMetric(worst.Seconds()/timeout.Seconds(), "timeouts/worst")
}

// BenchmarkRecovery gives the time to open a folder after a number of entries,
// and the folder's size.
func BenchmarkRecovery(b *testing.B) {
	for _, entries := range []int{10, 1_000, 100_000} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			RegisterTestingT(b)
			h := newHost(1)
			defer h.close()
			first := []*coordpb.Member{h.member}
			c := h.config(first)
			c.SnapshotEvery = node.DefaultSnapshotEvery
			c.Machine = &counter{}
			h.start(c)
			leader(h)
			fill(h, entries)
			h.stop()
			b.ResetTimer()
			for range b.N {
				h.start(c)
				b.StopTimer()
				h.stop()
				b.StartTimer()
			}
			b.ReportMetric(float64(folderSize(h.folder))/1024, "KiB")
		})
	}
}

// counter is a state machine whose state does not grow.
type counter struct{ applied uint64 }

func (c *counter) Apply(*coordpb.Command) *coordpb.Result {
	c.applied++
	return &coordpb.Result{Revision: c.applied}
}

func (c *counter) Snapshot() ([]byte, error) { return fmt.Append(nil, c.applied), nil }

func (c *counter) Restore(data []byte) error {
	_, err := fmt.Sscan(string(data), &c.applied)
	return err
}

func fill(h *host, entries int) {
	const callers = 64
	work := make(chan int)
	var running sync.WaitGroup
	for range callers {
		running.Go(func() {
			for i := range work {
				_, _ = h.node.Propose(context.Background(), command(i))
			}
		})
	}
	for i := range entries {
		work <- i
	}
	close(work)
	running.Wait()
}

func folderSize(folder string) (bytes int64) {
	_ = filepath.WalkDir(folder, func(_ string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() {
			return err
		}
		info, err := os.Stat(filepath.Join(folder, d.Name()))
		if err == nil {
			bytes += info.Size()
		}
		return nil
	})
	return bytes
}

// BenchmarkIdle gives the bytes a second to and from one member of an idle
// group of three, over loopback and below HTTP, at the default tick.
func BenchmarkIdle(b *testing.B) {
	RegisterTestingT(b)
	g := &group{}
	for i := 1; i <= 3; i++ {
		h := newHost(uint64(i))
		g.hosts, g.first = append(g.hosts, h), append(g.first, h.member)
	}
	defer g.close()
	for _, h := range g.hosts {
		c := h.config(g.first)
		c.Tick = node.DefaultTick
		h.start(c)
	}
	l := leader(g.hosts...)
	before, start := g.bytes(), time.Now()
	for range b.N {
		time.Sleep(node.DefaultTick)
	}
	perSecond := float64(g.bytes()-before) / time.Since(start).Seconds()
	b.ReportMetric(perSecond, "B/s-all")
	b.ReportMetric(perSecond/2, "B/s-per-follower")
	_ = l
}

func (g *group) bytes() (sum int64) {
	for _, h := range g.hosts {
		sum += h.bytes.Load()
	}
	return sum
}
