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
		e.Observe(map[string][]streams.Target{"models": list}, true, at(float64(s)))
	}
}

func TestTheVersionOfAnOriginIsKnownAfterItsTargetIsGone(t *testing.T) {
	g := NewWithT(t)
	e := streams.NewEvidence(start)
	observe(e, 0, 1, map[int]string{1: "v1", 2: "v2"})
	observe(e, 2, 20, map[int]string{2: "v2"})
	version, ok := e.VersionOf(streams.Origin{Service: "models", Target: target(1)}, lasted, at(20))
	g.Expect(ok).To(BeTrue())
	g.Expect(version).To(Equal("v1"))
}

// Guards against taking a target that starts again under its id for its earlier process.
func TestAnEarlierStartOfATargetIsAnotherOne(t *testing.T) {
	g := NewWithT(t)
	e := streams.NewEvidence(start)
	observe(e, 0, 20, map[int]string{1: "v1", 2: "v2"})
	restarted := streams.Target{Instance: "i-1", StartedUnixMs: 99}
	_, ok := e.VersionOf(streams.Origin{Service: "models", Target: restarted}, lasted, at(20))
	g.Expect(ok).To(BeFalse())
}

func TestAStreamOfUnknownOriginGoesOnOnlyIfThereWasOneVersion(t *testing.T) {
	unknown := streams.Origin{Service: "models"}
	for name, c := range map[string]struct {
		observe func(e streams.Evidence)
		at      float64
		want    string
	}{
		"one version":                         {func(e streams.Evidence) { observe(e, 0, 20, map[int]string{1: "v1", 2: "v1"}) }, 20, "v1"},
		"two versions":                        {func(e streams.Evidence) { observe(e, 0, 20, map[int]string{1: "v1", 2: "v2"}) }, 20, ""},
		"a host that started lately":          {func(e streams.Evidence) { observe(e, 15, 20, map[int]string{1: "v1"}) }, 20, ""},
		"a table that is too old":             {func(e streams.Evidence) { observe(e, 0, 20, map[int]string{1: "v1"}) }, 23, ""},
		"a target whose version is not known": {func(e streams.Evidence) { observe(e, 0, 20, map[int]string{1: "v1", 2: ""}) }, 20, ""},
		"a version that is known a moment later": {func(e streams.Evidence) {
			observe(e, 0, 18, map[int]string{1: "v1", 2: ""})
			observe(e, 19, 20, map[int]string{1: "v1", 2: "v1"})
		}, 20, "v1"},
		"a second version that left lately": {func(e streams.Evidence) {
			observe(e, 0, 14, map[int]string{1: "v1", 2: "v2"})
			observe(e, 15, 20, map[int]string{1: "v1"})
		}, 20, ""},
		"a second version that left long ago": {func(e streams.Evidence) {
			observe(e, 0, 2, map[int]string{1: "v1", 2: "v2"})
			observe(e, 3, 20, map[int]string{1: "v1"})
		}, 20, "v1"},
		"a table that was lost for long": {func(e streams.Evidence) {
			observe(e, 0, 5, map[int]string{1: "v1"})
			observe(e, 14, 20, map[int]string{1: "v1"})
		}, 20, ""},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			e := streams.NewEvidence(start)
			c.observe(e)
			version, ok := e.VersionOf(unknown, lasted, at(c.at))
			g.Expect(version).To(Equal(c.want))
			g.Expect(ok).To(Equal(c.want != ""))
		})
	}
}

// Guards against resuming a stream of a target that this host's table has not shown until its end.
func TestATargetMayHaveServedUntilACompleteTableLacksIt(t *testing.T) {
	unknown := streams.Origin{Service: "models"}
	both := map[string][]streams.Target{"models": {target(1), target(2)}}
	second := map[string][]streams.Target{"models": {target(2)}}
	for name, c := range map[string]struct {
		observe func(e streams.Evidence)
		refused float64 // until when a stream of target 1 can be resumed
	}{
		"while the host got no table for some seconds": {func(e streams.Evidence) {
			e.Observe(both, true, at(10))
			e.Observe(second, true, at(14.5))
		}, 24.5},
		"while the table was not complete": {func(e streams.Evidence) {
			e.Observe(second, false, at(10))
			e.Observe(second, false, at(10.5))
			e.Observe(second, true, at(11))
		}, 20.9},
		"while the table was not complete, which had it": {func(e streams.Evidence) {
			e.Observe(both, true, at(10))
			e.Observe(second, false, at(10.5))
			e.Observe(second, true, at(11))
		}, 21},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			e := streams.NewEvidence(start)
			e.Record(target(1), "v1", start)
			e.Record(target(2), "v2", start)
			c.observe(e)
			for s := 15.0; s <= c.refused+1; s += 0.5 {
				e.Observe(second, true, at(s))
				_, ok := e.VersionOf(unknown, lasted, at(s))
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
	for s := 21.0; s < 30; s++ {
		e.Observe(map[string][]streams.Target{"models": {target(1)}}, false, at(s))
		_, ok := e.VersionOf(streams.Origin{Service: "models"}, lasted, at(s))
		g.Expect(ok).To(Equal(s <= 22), "after %v s", s)
	}
}

// Guards against resuming at the only version in another host's table, where this host's has a second.
func TestASecondVersionContradictsTheOnlyOneOfAnotherHost(t *testing.T) {
	g := NewWithT(t)
	e := streams.NewEvidence(start)
	observe(e, 15, 20, map[int]string{1: "v1", 2: "v2"})
	g.Expect(e.Contradicts("models", "v1", lasted, at(20))).To(BeTrue())
	origin, ok := e.Agree("models", []streams.Answer{{OnlyVersion: "v1"}}, lasted, at(20))
	g.Expect(ok).To(BeFalse())
	g.Expect(origin).To(BeZero(), "the log shows a version only where the stream continues")
	observe(e, 21, 40, map[int]string{1: "v1"})
	g.Expect(e.Contradicts("models", "v1", lasted, at(40))).To(BeFalse())
}

// Guards against taking the only version of a service for that of a stream that began at another one.
func TestAnOriginAtAnotherServiceIsNoEvidenceOfAVersion(t *testing.T) {
	g := NewWithT(t)
	e := streams.NewEvidence(start)
	observe(e, 0, 20, map[int]string{1: "v1"})
	only := streams.Answer{OnlyVersion: "v1"}
	elsewhere := streams.Answer{Origin: streams.Origin{Service: "others", Target: target(9)}}
	_, ok := e.Agree("models", []streams.Answer{only, elsewhere}, lasted, at(20))
	g.Expect(ok).To(BeFalse())
	origin, ok := e.Agree("models", []streams.Answer{only, {}}, lasted, at(20))
	g.Expect(ok).To(BeTrue())
	g.Expect(origin.SoftwareVersion).To(Equal("v1"))
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

// resolve returns the version at which a host resumes a stream, asking the others that hold it.
func (s *simulated) resolve(id string, fleet map[string]*simulated, hosts []streams.Host, now time.Time) (string, bool) {
	o, known := s.origins.Find(id, now)
	if !known {
		o = streams.Origin{Service: "models"}
	}
	if version, ok := s.evidence.VersionOf(o, lasted, now); ok {
		return version, true
	}
	var answers []streams.Answer
	for _, h := range streams.Holders(id, hosts) {
		if h.Name != s.Name {
			answers = append(answers, fleet[h.Name].answer(id, now))
		}
	}
	o, ok := s.evidence.Agree("models", answers[:min(streams.AskedHolders, len(answers))], lasted, now)
	return o.SoftwareVersion, ok
}

// answer returns a host's answer to a request for the origin of a stream.
func (s *simulated) answer(id string, now time.Time) streams.Answer {
	if o, ok := s.origins.Find(id, now); ok {
		o.SoftwareVersion, _ = s.evidence.VersionOf(o, lasted, now)
		return streams.Answer{Origin: o}
	}
	only, _ := s.evidence.VersionOf(streams.Origin{Service: "models"}, lasted, now)
	return streams.Answer{OnlyVersion: only}
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
			version, ok := fleet[hosts[r.IntN(6)].Name].resolve(id, fleet, hosts, now)
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
