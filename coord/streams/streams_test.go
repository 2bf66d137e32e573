package streams_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"cowsliptiller/coord/streams"
)

var start = time.Unix(1000, 0)

const lasted = 10 * time.Second

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

func target(n int) streams.Target {
	return streams.Target{Instance: fmt.Sprint("i-", n), StartedUnixMs: int64(n)}
}

// observe records targets with versions at each second of a span.
func observe(e streams.Evidence, from, to int, versions map[int]string) {
	for s := from; s <= to; s++ {
		var list []streams.Target
		for n, v := range versions {
			e.Record(target(n), v, at(float64(s)))
			list = append(list, target(n))
		}
		observeTable(e, list, true, 1, at(float64(s)))
	}
}

// observeTable records a table that is made at once.
func observeTable(e streams.Evidence, list []streams.Target, complete bool, term uint64, now time.Time) {
	e.Observe(streams.Table{Targets: map[string][]streams.Target{"models": list}, Complete: complete, Term: term, AskedAt: now}, now)
}

// newLeader is the answer of a leader of a term that has known all targets for a second.
func newLeader(term uint64, versions ...string) streams.ServiceVersions {
	return streams.ServiceVersions{Versions: versions, Term: term, KnownFor: time.Second}
}

func TestTheVersionOfAnOriginIsKnownAfterItsTargetIsGone(t *testing.T) {
	g := NewWithT(t)
	e := streams.NewEvidence(start)
	observe(e, 0, 1, map[int]string{1: "v1", 2: "v2"})
	observe(e, 2, 20, map[int]string{2: "v2"})
	g.Expect(e.VersionOf(streams.Origin{Service: "models", Target: target(1)}, at(20))).To(Equal("v1"))
}

// Guards against taking a target that starts again under its id for its earlier process.
func TestAnEarlierStartOfATargetIsAnotherOne(t *testing.T) {
	g := NewWithT(t)
	e := streams.NewEvidence(start)
	observe(e, 0, 20, map[int]string{1: "v1", 2: "v2"})
	restarted := streams.Target{Instance: "i-1", StartedUnixMs: 99}
	g.Expect(e.VersionOf(streams.Origin{Service: "models", Target: restarted}, at(20))).To(BeEmpty())
}

// The span of the cases is 15 s: a stream lasts for 10 s, and a host's table may be 5 s old.
func TestAStreamOfUnknownOriginGoesOnOnlyIfThereWasOneVersion(t *testing.T) {
	longKnown := streams.ServiceVersions{Versions: []string{"v1"}, Term: 1, KnownFor: streams.SpanOf(lasted)}
	for name, c := range map[string]struct {
		observe func(e streams.Evidence)
		leader  streams.ServiceVersions
		want    string
	}{
		"one version":                         {func(e streams.Evidence) { observe(e, 0, 20, map[int]string{1: "v1", 2: "v1"}) }, newLeader(1, "v1"), "v1"},
		"two versions":                        {func(e streams.Evidence) { observe(e, 0, 20, map[int]string{1: "v1", 2: "v2"}) }, newLeader(1, "v1"), ""},
		"a version that only the leader has":  {func(e streams.Evidence) { observe(e, 0, 20, map[int]string{1: "v1"}) }, newLeader(1, "v1", "v2"), ""},
		"another one that the leader has":     {func(e streams.Evidence) { observe(e, 0, 20, map[int]string{1: "v1"}) }, newLeader(1, "v2"), ""},
		"a host that started lately":          {func(e streams.Evidence) { observe(e, 6, 20, map[int]string{1: "v1"}) }, newLeader(1, "v1"), ""},
		"a host that has just started":        {func(e streams.Evidence) {}, longKnown, "v1"},
		"a leader that does not answer":       {func(e streams.Evidence) { observe(e, 0, 20, map[int]string{1: "v1"}) }, streams.ServiceVersions{}, ""},
		"a leader that lacks targets":         {func(e streams.Evidence) { observe(e, 0, 20, map[int]string{1: "v1"}) }, streams.ServiceVersions{Versions: []string{"v1"}, Term: 1}, ""},
		"a leader of a later term":            {func(e streams.Evidence) { observe(e, 0, 20, map[int]string{1: "v1"}) }, newLeader(2, "v1"), ""},
		"a target whose version is not known": {func(e streams.Evidence) { observe(e, 0, 20, map[int]string{1: "v1", 2: ""}) }, newLeader(1, "v1"), ""},
		"one whose version the leader lacks":  {func(e streams.Evidence) { observe(e, 0, 20, map[int]string{1: "v1"}) }, newLeader(1, "", "v1"), ""},
		"a version that is known a moment later": {func(e streams.Evidence) {
			observe(e, 0, 18, map[int]string{1: "v1", 2: ""})
			observe(e, 19, 20, map[int]string{1: "v1", 2: "v1"})
		}, newLeader(1, "v1"), "v1"},
		"a second version that left lately": {func(e streams.Evidence) {
			observe(e, 0, 4, map[int]string{1: "v1", 2: "v2"})
			observe(e, 5, 20, map[int]string{1: "v1"})
		}, newLeader(1, "v1"), ""},
		"a second version that left long ago": {func(e streams.Evidence) {
			observe(e, 0, 3, map[int]string{1: "v1", 2: "v2"})
			observe(e, 4, 20, map[int]string{1: "v1"})
		}, newLeader(1, "v1"), "v1"},
		"a table that was lost for long": {func(e streams.Evidence) {
			observe(e, 0, 5, map[int]string{1: "v1"})
			observe(e, 11, 20, map[int]string{1: "v1"})
		}, newLeader(1, "v1"), ""},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			e := streams.NewEvidence(start)
			c.observe(e)
			version, ok := e.Only("models", c.leader, lasted, at(20))
			g.Expect(version).To(Equal(c.want))
			g.Expect(ok).To(Equal(c.want != ""))
		})
	}
}

// Guards against resuming a stream of a target that this host's table has not shown until its end.
func TestATargetMayHaveServedUntilACompleteTableLacksIt(t *testing.T) {
	both, second := []streams.Target{target(1), target(2)}, []streams.Target{target(2)}
	for name, c := range map[string]struct {
		observe func(e streams.Evidence)
		refused float64 // until when a stream of target 1 can be resumed
	}{
		"while the host got no table for some seconds": {func(e streams.Evidence) {
			observeTable(e, both, true, 1, at(10))
			observeTable(e, second, true, 1, at(14.5))
		}, 29.5},
		"while the table was not complete": {func(e streams.Evidence) {
			observeTable(e, second, false, 1, at(10))
			observeTable(e, second, false, 1, at(10.5))
			observeTable(e, second, true, 1, at(11))
		}, 25.9},
		"while the table was not complete, which had it": {func(e streams.Evidence) {
			observeTable(e, both, true, 1, at(10))
			observeTable(e, second, false, 1, at(10.5))
			observeTable(e, second, true, 1, at(11))
		}, 26},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			e := streams.NewEvidence(start)
			e.Record(target(1), "v1", start)
			e.Record(target(2), "v2", start)
			c.observe(e)
			for s := 15.0; s <= c.refused+1; s += 0.5 {
				observeTable(e, second, true, 1, at(s))
				_, ok := e.Only("models", newLeader(1, "v2"), lasted, at(s))
				g.Expect(ok).To(Equal(s > c.refused), "after %v s", s)
			}
		})
	}
}

// Guards against a table that is not complete, which makes a host take the versions that it shows for all.
func TestATableThatIsNotCompleteDoesNotContinueTheHistory(t *testing.T) {
	g := NewWithT(t)
	e := streams.NewEvidence(start)
	observe(e, 0, 20, map[int]string{1: "v1"})
	for s := 21.0; s < 24; s++ {
		observeTable(e, []streams.Target{target(1)}, false, 2, at(s))
		_, ok := e.Only("models", newLeader(2, "v1"), lasted, at(s))
		g.Expect(ok).To(BeFalse(), "after %v s", s)
	}
	observeTable(e, []streams.Target{target(1)}, true, 2, at(24))
	_, ok := e.Only("models", newLeader(2, "v1"), lasted, at(24))
	g.Expect(ok).To(BeTrue())
}

// Guards against a table that has waited for a paused host and is taken for a new one.
func TestATableIsAsOldAsItsRequest(t *testing.T) {
	g := NewWithT(t)
	e := streams.NewEvidence(start)
	observe(e, 0, 10, map[int]string{1: "v1"})
	late := streams.Table{Targets: map[string][]streams.Target{"models": {target(1)}}, Complete: true, Term: 1, AskedAt: at(10.5)}
	e.Observe(late, at(14.5))
	observe(e, 16, 30, map[int]string{1: "v1"})
	_, ok := e.Only("models", newLeader(1, "v1"), lasted, at(30))
	g.Expect(ok).To(BeFalse(), "from 10.5 to 16 s a target may have joined and ended")
	observe(e, 31, 31, map[int]string{1: "v1"})
	_, ok = e.Only("models", newLeader(1, "v1"), lasted, at(31))
	g.Expect(ok).To(BeTrue())
}

// Guards against resuming at the only version in the leader's table, where this host's has a second.
func TestASecondVersionContradictsTheOnlyOneOfTheLeader(t *testing.T) {
	g := NewWithT(t)
	leader := streams.ServiceVersions{Versions: []string{"v1"}, Term: 1, KnownFor: streams.SpanOf(lasted)}
	e := streams.NewEvidence(start)
	observe(e, 15, 20, map[int]string{1: "v1", 2: "v2"})
	version, ok := e.Only("models", leader, lasted, at(20))
	g.Expect(ok).To(BeFalse())
	g.Expect(version).To(BeEmpty(), "the log shows a version only where the stream continues")
	observe(e, 21, 40, map[int]string{1: "v1"})
	_, ok = e.Only("models", leader, lasted, at(40))
	g.Expect(ok).To(BeTrue())
}

func TestOriginsAreKeptForTheirLifetimeAndThenDropped(t *testing.T) {
	g := NewWithT(t)
	o := streams.NewOrigins(start)
	o.Record("r", streams.Origin{SoftwareVersion: "v1"}, at(50))
	_, ok := o.Find("r", at(50).Add(streams.OriginLifetime))
	g.Expect(ok).To(BeTrue())
	_, ok = o.Find("r", at(50).Add(3*streams.OriginLifetime))
	g.Expect(ok).To(BeFalse())
}

func fleetOf(n int) (out []streams.Host) {
	for i := range n {
		out = append(out, streams.Host{Name: fmt.Sprint("e", i), FailureDomain: fmt.Sprint("d", i%3), Address: fmt.Sprint("a", i)})
	}
	return out
}

// Guards against origins that are lost with one failure domain, or that are not found after a host joined.
func TestHoldersAreOfDifferentDomainsAndHardlyMove(t *testing.T) {
	g := NewWithT(t)
	moved := 0
	for i := range 1000 {
		id := fmt.Sprint("r-", i)
		before, after := streams.Holders(id, fleetOf(30)), streams.Holders(id, fleetOf(31))
		g.Expect(before[0].FailureDomain).NotTo(Equal(before[1].FailureDomain))
		if !slices.Equal(before[:streams.Copies], after[:streams.Copies]) {
			moved++
		}
	}
	g.Expect(moved).To(BeNumerically("<", 200))
}

// simulated is an entry host of a simulated fleet.
type simulated struct {
	streams.Host
	origins  *streams.Origins
	evidence streams.Evidence
	queue    []string // recorded and not sent yet
}

func newSimulated(h streams.Host, now time.Time) *simulated {
	return &simulated{Host: h, origins: streams.NewOrigins(now), evidence: streams.NewEvidence(now)}
}

// resolve returns the version at which a host resumes a stream, asking the leader, which may not answer, and the hosts
// that hold it.
func (s *simulated) resolve(id string, leader streams.ServiceVersions, fleet map[string]*simulated, hosts []streams.Host, now time.Time) (string, bool) {
	if o, known := s.origins.Find(id, now); known {
		version := s.evidence.VersionOf(o, now)
		return version, version != ""
	}
	if version, ok := s.evidence.Only("models", leader, lasted, now); ok {
		return version, true
	}
	asked := 0
	for _, h := range streams.Holders(id, hosts) {
		if h.Name == s.Name || asked == streams.AskedHolders {
			continue
		}
		asked++
		if o, ok := fleet[h.Name].origins.Find(id, now); ok {
			if version := fleet[h.Name].evidence.VersionOf(o, now); version != "" {
				return version, true
			}
		}
	}
	return "", false
}

// The load of the package comment: 40 streams a second begin at targets of three versions, and every
// second a third of the hosts ends and starts again. Guards against streams that join two versions, and
// against refusing more than half of those that are resumed.
func TestStreamsAreResumedAtTheirVersionWhileHostsEnd(t *testing.T) {
	g := NewWithT(t)
	r := rand.New(rand.NewPCG(1, 2))
	hosts := fleetOf(6)
	fleet := map[string]*simulated{}
	for _, h := range hosts {
		fleet[h.Name] = newSimulated(h, start)
	}
	began := map[string]string{} // version by stream
	joined, resumed, refused, n := 0, 0, 0, 0
	for tick := range 30 * 20 { // of 50 ms, at which origins are sent
		now := at(float64(tick) / 20)
		for _, h := range hosts {
			s := fleet[h.Name]
			observe(s.evidence, tick/20, tick/20, map[int]string{1: "v1", 2: "v1.1", 3: "v1.2"})
			for _, id := range s.queue {
				o, _ := s.origins.Find(id, now)
				for _, holder := range streams.Holders(id, hosts)[:streams.Copies] {
					fleet[holder.Name].origins.Record(id, o, now)
				}
			}
			s.queue = nil
		}
		for range 2 {
			n++
			id, host, version := fmt.Sprint("r-", n), fleet[hosts[r.IntN(6)].Name], []string{"v1", "v1.1", "v1.2"}[r.IntN(3)]
			host.origins.Record(id, streams.Origin{Service: "models", SoftwareVersion: version}, now)
			host.queue = append(host.queue, id)
			began[id] = version
		}
		if tick%20 != 19 {
			continue
		}
		first := r.IntN(6)
		for i := range 2 {
			ended := hosts[(first+i)%6]
			fleet[ended.Name] = newSimulated(ended, now)
		}
		for i := max(1, n-80); i <= n; i++ { // streams of the last two seconds come again elsewhere
			id := fmt.Sprint("r-", i)
			version, ok := fleet[hosts[r.IntN(6)].Name].resolve(id, streams.ServiceVersions{Versions: []string{"v1", "v1.1", "v1.2"}, Term: 1, KnownFor: time.Hour}, fleet, hosts, now)
			switch {
			case !ok:
				refused++
			case version != began[id]:
				joined++
			default:
				resumed++
			}
		}
	}
	t.Logf("resumed %d, refused %d, joined two versions %d", resumed, refused, joined)
	g.Expect(joined).To(BeZero())
	g.Expect(resumed).To(BeNumerically(">", 2*refused))
}
