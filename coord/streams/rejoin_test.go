package streams_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cowsliptiller/coord/streams"
)

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

// restartAll restarts all hosts, including the leader. The table is complete again after a second.
func (m *rejoinModel) restartAll() {
	for _, h := range m.hosts {
		m.restart(h)
	}
	m.filled = m.now + 10
	for n := range m.targets {
		m.shown[n] = m.now + m.random.IntN(11)
	}
}

// poll gives a host the leader's table.
func (m *rejoinModel) poll(s *simulated) {
	if m.outage[s.Name] > m.now {
		return
	}
	m.tables[s.Name] = nil
	var list []streams.Target
	for n, target := range m.targets {
		if m.alive(n) && m.shown[n] <= m.now {
			s.evidence.Record(target.Target, target.version, m.at())
			list = append(list, target.Target)
			m.tables[s.Name] = append(m.tables[s.Name], n)
		}
	}
	s.evidence.Observe(map[string][]streams.Target{"models": list}, m.now >= m.filled, m.at())
}

func (m *rejoinModel) share(s *simulated) {
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
	version, ok := s.resolve(r.id, m.fleet, m.hosts, m.at())
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

// Load pattern: two versions serve, or the old one has just left, when all entry hosts end at once, and again;
// hosts get no table for seconds.
// Guards against resuming a stream at another software version after a restart of all entry hosts.
func TestStreamsDoNotJoinVersionsAfterAllHostsEnded(t *testing.T) {
	total, refused := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		m := &rejoinModel{t: t, random: random, hosts: fleetOf(4), fleet: map[string]*simulated{}, tables: map[string][]int{}, outage: map[string]int{}, shown: map[int]int{}}
		for n := range 6 {
			version := 1 + n/4 // the last two targets have the second one, and stay
			life := 400
			if version == 1 {
				life = 5 + m.random.IntN(246)
			}
			m.targets = append(m.targets, served{target(n), fmt.Sprint("v", version), 0, life})
		}
		for _, h := range m.hosts {
			m.restart(h)
		}
		for ; m.now < 300; m.now++ {
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
				m.outage[pick(m.random, m.hosts).Name] = m.now + 20 + m.random.IntN(29)
			}
		}
		total, refused = total+m.resumed, refused+m.refused
	})
	t.Logf("resumed %d, refused %d", total, refused)
	if total == 0 {
		t.Error("no stream was resumed")
	}
}
