package control_test

import (
	"context"
	"crypto/sha256"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"cowsliptiller/coord/fault"
	"cowsliptiller/server/control"
	"cowsliptiller/server/gen/operators"
	"cowsliptiller/server/settings"
	"cowsliptiller/server/view"
)

// freshness is the lease in tests. Time is virtual (testing/synctest): it moves
// when everything waits.
const freshness = 3 * time.Second

const questionnaire = `deployment: test
failure_domains: [a]
store: {loads_per_second: 1, full_speed_loads: 1, adapter_loads: 1, adapter_load_limit: 10ms}
classes:
  - {name: lookup, urgency: interactive, deadline: 8s, repeatable: true, default: true}
targets:
  - {name: t1, kind: engine, failure_domain: a, memory: 12GiB, kv_cache: 2GiB, concurrency: 4}
models:
  - {name: m1, version: "1", size: 4GiB, load_time: 1s}
workspaces:
  - {name: w1, rate: 10, burst: 100, models: ["*"]}
`

var background = context.Background()

// kindOf is the error kind of an operators' call, "" for success.
func kindOf(err error) fault.Kind {
	if err == nil {
		return ""
	}
	return fault.Kind(err.(*operators.Refusal).Kind)
}

func submitAs(id string, replaces uint64) *operators.SubmitPayload {
	return &operators.SubmitPayload{Questionnaire: questionnaire + "# " + id, ReplacesRevision: replaces, SubmissionID: id, Actor: &id}
}

// virtual runs a test in virtual time.
func virtual(t *testing.T, f func(t *testing.T, g *WithT)) {
	synctest.Test(t, func(t *testing.T) { f(t, NewWithT(t)) })
}

// three starts a group of three control processes.
func three(t *testing.T) (*group, []*control.Role) {
	gr := newGroup()
	var roles []*control.Role
	for id := uint64(1); id <= 3; id++ {
		roles = append(roles, gr.start(t, id, nil))
	}
	return gr, roles
}

// accepts reports whether an entry host with this view would let a key in now.
func accepts(f *view.Follower, secret string) bool {
	if !f.Fresh(time.Now()) {
		return false
	}
	s := f.Current()
	k := s.Keys[view.Digest(sha256.Sum256([]byte(secret)))]
	return k != nil && !k.Withdrawn
}

// settle lets virtual time pass and everything that is due happen.
func settle(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

func TestThinPath(t *testing.T) {
	virtual(t, func(t *testing.T, g *WithT) {
		gr, roles := three(t)
		f := gr.follow(t, "entry-1", address(2))
		settle(time.Second)
		g.Expect(f.Fresh(time.Now())).To(BeTrue())
		out, err := roles[1].Operators().Submit(background, submitAs("first", 0))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(out.Revision).To(Equal(uint64(1)))
		key, err := roles[2].Operators().GiveKey(background, &operators.GiveKeyPayload{Workspace: "w1", CommandID: "c1"})
		g.Expect(err).NotTo(HaveOccurred())
		settle(10 * time.Millisecond)
		g.Expect(f.Current().Configuration.Revision).To(Equal(uint64(1)))
		g.Expect(accepts(f, *key.Secret)).To(BeTrue())
		g.Expect(f.Current().Hosts).To(HaveKey("entry-1"))
		info, err := roles[0].Operators().Configuration(background, nil)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(info.InForce).To(HaveLen(1))
		g.Expect(info.InForce[0].ConfigurationRevision).To(Equal(uint64(1)))
	})
}

func TestMetricsAreRegistered(t *testing.T) {
	g := NewWithT(t)
	gr := newGroup()
	log := &member{group: gr, id: 1, machine: control.NewMachine()}
	gr.members[1] = log
	role := control.New(control.Config{Settings: &settings.Options{}, Log: log, Machine: log.machine})
	registry := prometheus.NewRegistry()
	role.Register(registry)
	families, err := registry.Gather()
	g.Expect(err).NotTo(HaveOccurred())
	values := map[string]float64{}
	for _, f := range families {
		values[f.GetName()] = f.GetMetric()[0].GetGauge().GetValue()
	}
	g.Expect(values).To(HaveKeyWithValue("cowslip_control_followers", 0.0))
	g.Expect(values).To(HaveKey("cowslip_control_barrier_age_seconds"))
}
