package member_test

import (
	"context"
	"fmt"
	"path/filepath"
	"runtime"
	"strings"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/cockroachdb/pebble/v2/vfs/errorfs"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cowsliptiller/server/control"
	"cowsliptiller/server/rpc"
)

var _ = Describe("a member whose disk is full for a while", func() {
	var (
		d      *disk
		fs     vfs.FS
		folder string
	)
	BeforeEach(func() {
		d = &disk{}
		fs, folder = d.wrap(vfs.Default), filepath.Join(GinkgoT().TempDir(), "disk")
	})
	failOnce := func(h *host) {
		GinkgoHelper()
		d.refuse(everyChange)
		Expect(h.acknowledge("refused")).NotTo(Succeed())
		eventually(h.isRunning).Should(BeFalse())
		d.repair()
		eventually(h.isRunning).Should(BeTrue())
	}

	// Guards against a member that is never opened again in the process, and against the loss of
	// what it acknowledged.
	It("runs again in the same process with all that it acknowledged", func() {
		h := alone(fs, folder).start()
		defer h.stop()
		var domains []string
		for i := range 4 {
			domain := fmt.Sprintf("d%d", i)
			eventually(func() error { return h.acknowledge(domain) }).Should(Succeed())
			domains = append(domains, domain)
			failOnce(h)
			eventually(h.acknowledged).Should(ContainElements(domains))
		}
		Expect(h.metric("cowslip_control_member_running")).To(Equal(1.0))
		Expect(h.failures()).To(BeNumerically(">=", 4))
		eventually(func() int { return h.lines("dependency_regained") }).Should(Equal(4))
	})

	// Guards against acknowledged state in a folder whose name is lost at the next power failure.
	It("keeps what it acknowledged through a power failure, whichever change failed at its start", func() {
		for n, failed := int64(0), true; failed; n++ {
			mem := vfs.NewCrashableMem()
			d.refuseFrom(n)
			h := alone(d.wrap(mem), diskFolder).start()
			eventually(func() bool { return h.failures() > 0 || h.isRunning() }).Should(BeTrue())
			failed = h.failures() > 0
			d.repair()
			eventually(func() error { return h.acknowledge("d") }).Should(Succeed(), "change %d failed", n)
			crashed := mem.CrashClone(vfs.CrashCloneCfg{})
			h.stop()
			h = alone(crashed, diskFolder).start()
			eventually(h.acknowledged).Should(ContainElement("d"), "change %d failed", n)
			h.stop()
		}
	})

	// Guards against an opening that repeats its writes without a pause, against a Stop that waits
	// for it, and against a log line for each attempt.
	It("neither spins nor keeps Stop waiting nor floods the log", func() {
		h := alone(fs, folder).start()
		eventually(func() error { return h.acknowledge("d") }).Should(Succeed())
		d.refuse(everyChange)
		Expect(h.acknowledge("refused")).NotTo(Succeed())
		const attempts = 30
		eventually(h.failures).Should(BeNumerically(">", 1))
		failures, changes := h.failures(), d.changes.Load()
		eventually(h.failures).Should(BeNumerically(">=", failures+attempts))
		Expect(float64(d.changes.Load() - changes)).To(BeNumerically("<", 20*(h.failures()-failures+1)))
		Expect(h.metric("cowslip_control_member_running")).To(BeZero())
		Expect(h.lines("dependency_lost")).To(BeNumerically("<", attempts/2))
		began := time.Now()
		h.stop()
		Expect(time.Since(began)).To(BeNumerically("<", time.Second))
	})

	// Guards against followers that keep waiting for a member that has failed.
	It("answers the waiting polls at once when it fails", func() {
		h := alone(fs, folder).start()
		defer h.stop()
		eventually(func() error { return h.acknowledge("d") }).Should(Succeed())
		role, answered := h.Role(), make(chan error, 1)
		caller := &rpc.Caller{Host: "e", Incarnation: "e-1", Role: "entry", Address: "127.0.0.1:9", FailureDomain: "a"}
		since := uint64(0)
		eventually(func() error {
			response, err := role.Sync(context.Background(), &rpc.SyncRequest{Caller: caller})
			since = response.GetView().GetRevision()
			return err
		}).Should(Succeed())
		go func() {
			_, err := role.Sync(context.Background(), &rpc.SyncRequest{Caller: caller, Since: since + 1, WaitMs: uint32(patience.Milliseconds())})
			answered <- err
		}()
		Consistently(answered).WithTimeout(100 * time.Millisecond).ShouldNot(Receive())
		d.refuse(everyChange)
		Expect(h.acknowledge("refused")).NotTo(Succeed())
		Eventually(answered).WithTimeout(time.Second).Should(Receive())
	})

	for name, call := range map[string]func(*control.Role) error{
		"a command": func(role *control.Role) error {
			_, err := role.Evacuate(context.Background(), &rpc.EvacuateRequest{FailureDomain: "late", Evacuated: true, Actor: "test"})
			return err
		},
		"a read": func(role *control.Role) error {
			_, err := role.Source(context.Background(), &rpc.SourceRequest{})
			return err
		},
	} {
		// Guards against callers that wait for a member that has failed while others could answer.
		It("refuses "+name+" at once when it has failed", func() {
			h := alone(fs, folder).start()
			defer h.stop()
			eventually(func() error { return h.acknowledge("d") }).Should(Succeed())
			role := h.Role()
			d.refuse(everyChange)
			Expect(h.acknowledge("refused")).NotTo(Succeed())
			eventually(h.isRunning).Should(BeFalse())
			answered := make(chan error, 1)
			go func() { answered <- call(role) }()
			Eventually(answered).WithTimeout(time.Second).Should(Receive(HaveOccurred()))
		})
	}

	// Guards against goroutines, listeners and timers that each failure leaves behind.
	It("leaves no goroutine behind", func() {
		h := alone(fs, folder).start()
		defer h.stop()
		eventually(func() error { return h.acknowledge("d") }).Should(Succeed())
		failOnce(h)
		eventually(func() error { return h.acknowledge("d") }).Should(Succeed())
		goroutines := runtime.NumGoroutine()
		for range 10 {
			failOnce(h)
			eventually(func() error { return h.acknowledge("d") }).Should(Succeed())
		}
		eventually(runtime.NumGoroutine).Should(BeNumerically("<=", goroutines))
	})
})

var _ = Describe("a member whose disk does not answer", func() {
	hang := func(suffix string) (*disk, chan struct{}) {
		release, d := make(chan struct{}), &disk{}
		d.refuse(func(op errorfs.Op) bool {
			if op.Kind == errorfs.OpFileWrite && strings.HasSuffix(op.Path, suffix) {
				<-release
			}
			return false
		})
		return d, release
	}
	expectStopBounded := func(h *host) {
		GinkgoHelper()
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		stopped := make(chan struct{})
		go func() {
			h.Stop(ctx)
			close(stopped)
		}()
		eventually(stopped).Should(BeClosed())
		eventually(h.isRunning).Should(BeFalse())
	}

	// Guards against a process that cannot end while an opening hangs.
	for _, file := range []string{"member.json.new", ".log"} {
		It("is stopped in bounded time while it is being opened and hangs at "+file, func() {
			d, release := hang(file)
			before := runtime.NumGoroutine()
			h := alone(d.wrap(vfs.NewMem()), "/disk").start()
			eventually(d.changes.Load).Should(BeNumerically(">", 0))
			expectStopBounded(h)
			close(release)
			eventually(runtime.NumGoroutine).Should(BeNumerically("<=", before))
		})
	}

	// Guards against a process that cannot end while a write hangs.
	It("is stopped in bounded time while it runs, and leaves nothing behind once the disk answers", func() {
		release, d := make(chan struct{}), &disk{}
		fs := d.wrap(vfs.NewMem())
		before := runtime.NumGoroutine()
		h := alone(fs, "/disk").start()
		eventually(func() error { return h.acknowledge("d") }).Should(Succeed())
		d.refuse(func(op errorfs.Op) bool {
			if op.Kind == errorfs.OpFileWrite && strings.HasSuffix(op.Path, ".log") {
				<-release
			}
			return false
		})
		Expect(h.acknowledge("hangs")).NotTo(Succeed())
		expectStopBounded(h)
		close(release)
		eventually(runtime.NumGoroutine).Should(BeNumerically("<=", before))
		d.repair()
		again := alone(fs, "/disk").start()
		defer again.stop()
		eventually(again.acknowledged).Should(ContainElement("d"))
	})
})
