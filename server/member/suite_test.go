package member_test

import (
	"context"
	"io"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/cockroachdb/pebble/v2/vfs/errorfs"
	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"
	"github.com/prometheus/client_golang/prometheus"

	"cowsliptiller/coord/fault"
	"cowsliptiller/server/member"
	"cowsliptiller/server/process"
	"cowsliptiller/server/rpc"
	"cowsliptiller/server/settings"
	"cowsliptiller/server/store/disktest"
)

func TestMember(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "member")
}

const (
	patience    = 10 * time.Second
	reopenDelay = 5 * time.Millisecond
	address     = "127.0.0.1:1" // of a member alone, which calls nobody
)

// disk counts the changes and refuses, or keeps waiting, those that an injector selects.
type disk struct {
	changes atomic.Int64
	refuses atomic.Pointer[func(errorfs.Op) bool]
}

func (d *disk) refuse(selects func(errorfs.Op) bool) { d.refuses.Store(&selects) }
func (d *disk) repair()                              { d.refuses.Store(nil) }

// refuseFrom refuses every change from the n-th one on, counted from 0.
func (d *disk) refuseFrom(n int64) {
	first := d.changes.Load() + n
	d.refuse(func(errorfs.Op) bool { return d.changes.Load() > first })
}

// String implements errorfs.Injector.
func (d *disk) String() string { return "disk" }

// MaybeError implements errorfs.Injector.
func (d *disk) MaybeError(op errorfs.Op) error {
	if !disktest.IsChange(op) {
		return nil
	}
	d.changes.Add(1)
	if refuses := d.refuses.Load(); refuses != nil && (*refuses)(op) {
		return disktest.ErrFull
	}
	return nil
}

func everyChange(errorfs.Op) bool { return true }

// failingFS is a file system on a disk.
type failingFS struct{ vfs.FS }

func (d *disk) wrap(fs vfs.FS) vfs.FS { return failingFS{disktest.Wrap(fs, d)} }

// RemoveAll implements vfs.FS file by file, as operating systems do.
func (f failingFS) RemoveAll(name string) error {
	files, _ := f.List(name)
	slices.Sort(files)
	for _, file := range files {
		if err := f.RemoveAll(f.PathJoin(name, file)); err != nil {
			return err
		}
	}
	return f.Remove(name)
}

// host is a process that runs a member.
type host struct {
	*member.Supervisor
	registry *prometheus.Registry
	log      *gbytes.Buffer
}

var secret = process.NewSecret([]byte("secret of this test group"), time.Now)

func newHost(fs vfs.FS, folder, address string, seeds []string) *host {
	h := &host{registry: prometheus.NewRegistry(), log: gbytes.NewBuffer()}
	o := settings.Options{}
	o.Common.InternalAddress, o.Common.FailureDomain = address, "a"
	o.Control.Tick, o.Control.PrivateDisk, o.Control.Freshness = 10*time.Millisecond, true, 4*patience
	h.Supervisor = member.New(member.Config{
		Settings: o, Folder: folder, Address: address, Seeds: seeds, FirstStart: true, FaultTolerance: 1,
		Secret: secret, FS: fs, Registry: h.registry, ReopenDelay: reopenDelay,
		Locate: func(context.Context, string) (*rpc.LocateResponse, error) {
			return &rpc.LocateResponse{Disk: true}, nil
		},
		ControlAddresses: func() []string { return nil },
		Log:              hclog.New(&hclog.LoggerOptions{Output: io.MultiWriter(h.log, GinkgoWriter), JSONFormat: true}),
	})
	return h
}

// alone returns a process that founds a group of one.
func alone(fs vfs.FS, folder string) *host { return newHost(fs, folder, address, []string{address}) }

func (h *host) start() *host {
	h.Start()
	return h
}

func (h *host) isRunning() bool { return h.Role() != nil }

func (h *host) stop() { h.Stop(context.Background()) }

// acknowledge commits the change of a failure domain.
func (h *host) acknowledge(domain string) error {
	role := h.Role()
	if role == nil {
		return fault.New(fault.Unavailable, "the member does not run")
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_, err := role.Evacuate(ctx, &rpc.EvacuateRequest{FailureDomain: domain, Evacuated: true, Actor: "test"})
	return err
}

// acknowledged returns the failure domains in the member's state, sorted.
func (h *host) acknowledged() (domains []string) {
	role := h.Role()
	if role == nil {
		return nil
	}
	for _, e := range role.Evacuations() {
		domains = append(domains, e.FailureDomain)
	}
	slices.Sort(domains)
	return domains
}

// metric returns the sum of the series of a metric.
func (h *host) metric(name string) (sum float64) {
	families, err := h.registry.Gather()
	Expect(err).NotTo(HaveOccurred())
	for _, family := range families {
		if family.GetName() != name {
			continue
		}
		for _, m := range family.Metric {
			sum += m.GetCounter().GetValue() + m.GetGauge().GetValue()
		}
	}
	return sum
}

func (h *host) failures() float64 { return h.metric("cowslip_control_member_failures_total") }

func (h *host) lines(event string) int { return strings.Count(string(h.log.Contents()), event) }

func eventually(actual any) AsyncAssertion {
	return Eventually(actual).WithTimeout(patience).WithPolling(time.Millisecond)
}
