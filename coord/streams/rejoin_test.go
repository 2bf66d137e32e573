package streams_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cowsliptiller/coord/streams"
)

// shareHold is for how long a service must have had one version before hosts keep origins to themselves.
const shareHold = 10 * time.Second

// tick is the step of the simulation, the interval of polls and at which origins are sent.
const tick = 100 * time.Millisecond

func pick[T any](r *rand.Rand, of []T) T { return of[r.IntN(len(of))] }

// served is a target of the simulated service.
type served struct {
	streams.Target
	version    string
	from, till int // ticks
}

// running is a stream that a caller has begun and resumes if it breaks off.
type running struct {
	id      string
	began   int
	version string
	host    string // that forwards it; empty: it is broken off
	target  int
}

// rejoinModel is a service whose targets change while entry hosts end.
type rejoinModel struct {
	t       *rapid.T
	random  *rand.Rand
	now     int
	targets []served
	hosts   []streams.Host
	fleet   map[string]*simulated
	tables  map[string][]int // targets of each host's table
	outage  map[string]int   // until when a host gets no table
	shown   map[int]int      // from when on the leader's table has a target
	filled  int              // when the leader's table is complete
	leader  streams.Evidence // of its term
	term    uint64
	late    map[string]lateTable // that wait for a paused host
	open    []*running
	begun   int

	resumed, refused int
}

func (m *rejoinModel) at() time.Time { return start.Add(time.Duration(m.now) * tick) }

func (m *rejoinModel) alive(n int) bool {
	return m.now >= m.targets[n].from && m.now < m.targets[n].till
}

// restart ends a host, whose process starts again at once.
func (m *rejoinModel) restart(h streams.Host) {
	m.fleet[h.Name], m.tables[h.Name] = newSimulated(h, m.at()), nil
	for _, s := range m.open {
		if s.host == h.Name {
			s.host = ""
		}
	}
}

// lateTable is a table that a host has not read yet.
type lateTable struct {
	table   streams.Table
	targets []int
}

// elect begins a leader's term. Its table is complete after a second.
func (m *rejoinModel) elect() {
	m.term++
	m.leader = streams.NewEvidence(m.at())
	m.filled = m.now + 10
	for n := range m.targets {
		m.shown[n] = max(m.targets[n].from, m.now+m.random.IntN(11))
	}
}

// lead records the leader's table.
func (m *rejoinModel) lead() {
	table, _ := m.table()
	for _, n := range table.Targets["models"] {
		m.leader.Record(n, m.version(n), m.at())
	}
	m.leader.Observe(table, m.at())
}

func (m *rejoinModel) version(t streams.Target) string {
	for _, s := range m.targets {
		if s.Target == t {
			return s.version
		}
	}
	return ""
}

// table returns the leader's table.
func (m *rejoinModel) table() (table streams.Table, targets []int) {
	var list []streams.Target
	for n, target := range m.targets {
		if m.alive(n) && m.shown[n] <= m.now {
			list = append(list, target.Target)
			targets = append(targets, n)
		}
	}
	return streams.Table{Targets: map[string][]streams.Target{"models": list}, Complete: m.now >= m.filled, Term: m.term, AskedAt: m.at()}, targets
}

// answer is the leader's answer to a host; one that is out of step may get none.
func (m *rejoinModel) answer(s *simulated) streams.ServiceVersions {
	if m.outage[s.Name] > m.now && m.random.IntN(2) == 0 {
		return streams.ServiceVersions{}
	}
	span := streams.SpanOf(lasted)
	return streams.ServiceVersions{Versions: m.leader.VersionsOf("models", span, m.at()), Term: m.term, KnownFor: m.leader.KnownFor(m.at())}
}

// restartAll restarts all hosts, including the leader. The table is complete again after a second.
func (m *rejoinModel) restartAll() {
	for _, h := range m.hosts {
		m.restart(h)
	}
	m.elect()
}

// poll gives a host the leader's table, or the one that has waited while the host was paused.
func (m *rejoinModel) poll(s *simulated) {
	if m.outage[s.Name] > m.now {
		return
	}
	table, targets := m.table()
	if late, ok := m.late[s.Name]; ok {
		table, targets = late.table, late.targets
		delete(m.late, s.Name)
	}
	m.tables[s.Name] = targets
	for _, n := range targets {
		s.evidence.Record(m.targets[n].Target, m.targets[n].version, m.at())
	}
	s.evidence.Observe(table, m.at())
}

// isolate keeps tables from a host for some seconds: it is cut off, or paused while a table waits for it.
func (m *rejoinModel) isolate(h streams.Host) {
	if m.random.IntN(2) == 0 {
		table, targets := m.table()
		m.late[h.Name] = lateTable{table, targets}
	}
	m.outage[h.Name] = m.now + 20 + m.random.IntN(29)
}

func (m *rejoinModel) share(s *simulated) {
	if s.evidence.Single("models", shareHold, m.at()) {
		return
	}
	for _, id := range s.queue {
		o, _ := s.origins.Find(id, m.at())
		for _, holder := range streams.Holders(id, m.hosts)[:streams.Copies] {
			m.fleet[holder.Name].origins.Record(id, o, m.at())
		}
	}
	s.queue = nil
}

// begin begins a stream at a target of a host's table.
func (m *rejoinModel) begin(s *simulated) {
	if len(m.tables[s.Name]) == 0 {
		return
	}
	n := pick(m.random, m.tables[s.Name])
	if !m.alive(n) {
		return
	}
	m.begun++
	r := &running{id: fmt.Sprint("r-", m.begun), began: m.now, version: m.targets[n].version, host: s.Name, target: n}
	s.origins.Record(r.id, streams.Origin{Service: "models", SoftwareVersion: r.version, Target: m.targets[n].Target}, m.at())
	s.queue = append(s.queue, r.id)
	m.open = append(m.open, r)
}

// resume resumes the streams that have broken off, and drops those whose callers have left.
func (m *rejoinModel) resume() {
	var open []*running
	for _, r := range m.open {
		if time.Duration(m.now-r.began)*tick > lasted {
			continue
		}
		if r.host != "" && !m.alive(r.target) {
			r.host = ""
		}
		if r.host == "" && m.random.IntN(3) == 0 {
			m.resumeAt(m.fleet[pick(m.random, m.hosts).Name], r)
		}
		open = append(open, r)
	}
	m.open = open
}

func (m *rejoinModel) resumeAt(s *simulated, r *running) {
	version, ok := s.resolve(r.id, m.answer(s), m.fleet, m.hosts, m.at())
	if !ok {
		m.refused++
		return
	}
	for _, n := range m.tables[s.Name] {
		if !m.alive(n) || m.targets[n].version != version {
			continue
		}
		if version != r.version {
			m.t.Fatalf("tick %d: the stream of tick %d at %s goes on at %s", m.now, r.began, r.version, version)
		}
		m.resumed++
		r.host, r.target = s.Name, n
		return
	}
}

// Load pattern: two versions serve, the old one has just left, or the new one has just joined, when all entry hosts end at
// once, and again; hosts are out of step for seconds; leaders change.
// Guards against resuming a stream at another software version after a restart of all entry hosts, or at a host that is out
// of step.
func TestStreamsDoNotJoinVersionsAfterAllHostsEnded(t *testing.T) {
	total, refused := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		m := &rejoinModel{t: t, random: random, hosts: fleetOf(4), fleet: map[string]*simulated{}, tables: map[string][]int{}, outage: map[string]int{}, shown: map[int]int{}, late: map[string]lateTable{}}
		for n := range 8 {
			version := 1 + n/4 // the last four targets have the second one
			from, till := 0, 400
			switch {
			case version == 1:
				till = 5 + m.random.IntN(246)
			case n >= 6: // they join later, and may end soon
				from = m.random.IntN(250)
				till = from + 10 + m.random.IntN(150)
			case m.random.IntN(2) == 0:
				from, till = 500, 500 // absent
			}
			m.targets = append(m.targets, served{target(n), fmt.Sprint("v", version), from, till})
		}
		m.elect()
		for _, h := range m.hosts {
			m.restart(h)
		}
		for ; m.now < 300; m.now++ {
			m.lead()
			for _, h := range m.hosts {
				s := m.fleet[h.Name]
				m.share(s)
				m.poll(s)
				if m.random.IntN(4) == 0 {
					m.begin(s)
				}
			}
			m.resume()
			switch m.random.IntN(121) {
			case 0:
				m.restartAll()
			case 1, 2, 3, 4:
				m.restart(pick(m.random, m.hosts))
			case 5, 6, 7, 8, 9, 10, 11, 12:
				m.isolate(pick(m.random, m.hosts))
			case 13:
				m.elect()
			}
		}
		total, refused = total+m.resumed, refused+m.refused
	})
	t.Logf("resumed %d, refused %d", total, refused)
	if total == 0 {
		t.Error("no stream was resumed")
	}
}
