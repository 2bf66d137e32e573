package soak

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// regression are the seeds that each run plays. A seed that ever broke a promise is
// added with a line on the cause, and stays.
//
// 1: a process that was told to stop never ended: closing the callers' listeners held a
// lock that a connection just coming in waited for. Found as a run that hung.
// 6016: two streams lacked events in their middle and ended whole. The proxy had lost what
// came while it was silent and passed on what came after it, which no network does.
var regression = []uint64{1, 2, 6016}

// moving are further seeds of each run, with changed settings and fleet-wide restarts.
// 9303: control was not found after its seeds, which have no disk, had restarted.
var moving = []uint64{9101, 9102, 9303}

// The length of a run, and of its calm end in which the fleet must come back.
const (
	troubleTime = 12 * time.Second
	comeBack    = 40 * time.Second
	clientCount = 12
)

func seeds() []uint64 {
	first, _ := strconv.ParseUint(os.Getenv("SOAK_FIRST"), 10, 64)
	n, _ := strconv.Atoi(os.Getenv("SOAK_SEEDS"))
	out := slices.Concat(regression, moving)
	for i := range n {
		out = append(out, first+uint64(i))
	}
	return out
}

func build(t *testing.T) string {
	binary := filepath.Join(t.TempDir(), "cowslipd")
	text, err := exec.Command("go", "build", "-o", binary, "../server/cmd/cowslipd").CombinedOutput()
	if err != nil {
		t.Fatalf("%v: %s", err, text)
	}
	return binary
}

// Callers use a fleet whose processes and links fail in series that overlap. Whatever
// happens, nothing that may not be repeated runs twice, no refusal lies, no answer is
// another's or cut unseen, no acknowledged deployment is lost or read back older.
func TestPromisesHoldUnderFaults(t *testing.T) {
	binary := build(t)
	for _, seed := range seeds() {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { play(t, binary, seed) })
	}
}

func play(t *testing.T, binary string, seed uint64) {
	g := NewWithT(t)
	dir := t.TempDir()
	f, err := newFleet(binary, dir)
	g.Expect(err).NotTo(HaveOccurred())
	defer func() {
		f.close()
		if t.Failed() {
			keepLogs(t, dir, seed)
		}
	}()
	r := rand.New(rand.NewPCG(seed, 0))
	o := &operator{fleet: f, client: &http.Client{Transport: &http.Transport{}}}
	start, cancel := context.WithTimeout(context.Background(), comeBack)
	defer cancel()
	g.Expect(o.write(start, r, true)).To(BeTrue(), "the first deployment is taken")
	c := &clients{fleet: f, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: clientCount}}}
	ctx, stop := context.WithCancel(context.Background())
	c.run(ctx, seed, clientCount)
	trouble(ctx, f, o, r, !slices.Contains(regression, seed))
	calm(g, f, o, r)
	stop()
	c.wg.Wait()
	f.close()
	f.judgeRevoked(o)
	failures := f.journal.verdict()
	t.Logf("seed %d: answers by status %v", seed, f.journal.counts)
	g.Expect(failures).To(BeEmpty())
}

// trouble draws faults and changes from the seed; moves says whether the seeds of the
// settings change too.
func trouble(ctx context.Context, f *fleet, o *operator, r *rand.Rand, moves bool) {
	names := slices.Sorted(maps.Keys(faults))
	end, cancel := context.WithTimeout(ctx, troubleTime)
	defer cancel()
	if moves {
		own := rand.New(rand.NewPCG(r.Uint64(), r.Uint64()))
		f.faults.Go(func() { move(end, f, own) })
	}
	lost := false
	for step := 0; end.Err() == nil; step++ {
		own := rand.New(rand.NewPCG(r.Uint64(), r.Uint64()))
		switch draw := r.IntN(10); {
		case draw == 0 && !lost:
			lost = true // one disk at most may be lost
			f.faults.Go(func() { f.loseDisk(ctx, f.hosts[own.IntN(entriesWithDisk)], own) })
		case draw <= 2:
			o.read(end, r)
		case draw == 3:
			withKey := o.revoked.IsZero() && step < 12
			if o.write(end, r, withKey) && !withKey && o.revoked.IsZero() {
				o.revoked = time.Now()
			}
		default:
			harm := faults[names[r.IntN(len(names))]]
			f.faults.Go(func() { harm(ctx, f, own) })
		}
		pause(end, time.Duration(100+r.IntN(500))*time.Millisecond)
	}
	f.faults.Wait()
}

// calm waits until the fleet is whole again: a deployment is taken and read back.
func calm(g *WithT, f *fleet, o *operator, r *rand.Rand) {
	ctx, cancel := context.WithTimeout(context.Background(), comeBack)
	defer cancel()
	g.Expect(o.write(ctx, r, o.revoked.IsZero())).To(BeTrue(), "a deployment is taken after the trouble")
	g.Eventually(func() bool { return o.read(ctx, r) }, comeBack).Should(BeTrue(), "and is read back")
	before := f.journal.served()
	g.Eventually(f.journal.served, comeBack).Should(BeNumerically(">", before+50), "requests are served again")
}

// keepLogs copies the processes' logs beside the test, under the seed.
func keepLogs(t *testing.T, dir string, seed uint64) {
	to := filepath.Join(os.TempDir(), fmt.Sprintf("soak-%d", seed))
	if err := os.RemoveAll(to); err != nil {
		t.Logf("old logs not removed: %v", err)
	}
	if err := os.CopyFS(to, os.DirFS(dir)); err != nil {
		t.Logf("logs not kept: %v", err)
		return
	}
	t.Logf("the logs are in %s", to)
}
