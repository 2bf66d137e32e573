package standings

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

// Held is a model that a target holds, with its adapters.
type Held struct {
	Name     string
	Adapters []string
}

// Standing is the status of one target.
type Standing struct {
	Instance      string
	Service       string
	Address       string // IP:port
	FailureDomain string
	Slots         int
	Draining      bool
	BornUnixMs    int64
	Models        []Held

	// Only an agent reports these.
	Reported bool
	Agent    string   // IP:port of the agent; empty: none known
	AtHand   []string // models of which the target has a copy in memory or on disk
	Load

	Version            uint64 // of the table at the last change
	DescriptionVersion uint64 // the same, of anything but Load
}

// Load is the part of a target's status that changes with nearly every report.
type Load struct {
	Running  int
	Queued   int
	Loading  string        // model of the load under way
	LoadWait time.Duration // until another load could begin there
	Awaited  []string      // models that requests wait for, and that are not loading yet
}

// LoadUpdate is a new load of a target whose description the holder has.
type LoadUpdate struct {
	Instance string
	Version  uint64
	Load
}

// DescribedBy reports whether a holder of a version of the table has all of the status but
// its load.
func (s *Standing) DescribedBy(version uint64) bool { return s.DescriptionVersion <= version }

// Pressed reports whether a target has more work than it runs at once, or nearly.
func Pressed(running, queued, slots int) bool {
	return queued > 0 || float64(running) >= pressedShare*float64(max(1, slots))
}

// pressedShare of its slots in use leaves no room for the swings within one interval
// of reports.
const pressedShare = 0.8

// Pressed reports whether the target has more work than it runs at once, or nearly.
func (s *Standing) Pressed() bool { return s.Reported && Pressed(s.Running, s.Queued, s.Slots) }

// Times of the table.
const (
	// ReportLife is how long an agent's report counts. After it the target's entry of the
	// list is used: the agent may be down while its target serves.
	ReportLife = 2 * time.Second
	// AbsenceLife is how long a target that an agent found dead is kept off the
	// table although the list shows it: the list takes some seconds to follow.
	AbsenceLife = 6 * time.Second
)

// Table joins list and reports. It is not safe for concurrent use.
//
// Load pattern: every agent reports several times a second, and every entry host asks
// as often for what is new. Joined anew at each report, and looked through at each
// question, three thousand targets took a control leader's whole processor and its
// callers were not answered. So a report touches the rows at its own address only, the
// whole is joined a few times a second for what changes by age, and changes are kept in
// their order.
//
// Load pattern: 70 entry hosts poll for the status of 125 targets, whose load changes with
// every report and whose models change rarely.
// Without it: a status with all model names goes out for each change of load; the leader's
// link is saturated, and replies to other calls queue behind it for 100 ms.
// Rule: a holder that has a target's description is sent its load only.
type Table struct {
	version  uint64
	rows     map[string]*Standing // by instance
	at       map[string][]string  // instances of rows, by address
	listed   map[string]Standing  // by instance, as last read
	listedIn map[string][]string  // instances of listed, by address
	listedAt time.Time
	joinedAt time.Time         // when the whole was last joined
	reports  map[string]report // by address of the target
	heard    uint64            // reports so far
	changes  []mark            // oldest first; only the newest of a row counts
	gone     []mark            // oldest first
}

type report struct {
	standing Standing
	at       time.Time
	alive    bool
	number   uint64 // grows with each report
}

// mark is an instance at a version of the table.
type mark struct {
	instance string
	version  uint64
}

// joinEvery is how often the whole is joined at least while reports come: a quarter of
// the time for which a report counts.
const joinEvery = ReportLife / 4

// maxDepartures bounds what is kept for holders that lag; one that lags further
// gets the whole table.
const maxDepartures = 256

// NewTable returns an empty table. First is the version it starts from: a holder of
// another table's version must not take this one's for its own.
func NewTable(first uint64) *Table {
	return &Table{
		version: first, rows: map[string]*Standing{}, at: map[string][]string{},
		listed: map[string]Standing{}, listedIn: map[string][]string{}, reports: map[string]report{},
	}
}

// SetList takes the platform's list as read at a time.
func (t *Table) SetList(list []Standing, now time.Time) {
	t.listed = make(map[string]Standing, len(list))
	t.listedIn = make(map[string][]string, len(list))
	for _, s := range list {
		t.listed[s.Instance] = s
		t.listedIn[s.Address] = append(t.listedIn[s.Address], s.Instance)
	}
	t.listedAt = now
	t.join(now)
}

// Report takes an agent's report on the target at an address. Alive false: it does
// not answer its agent.
func (t *Table) Report(s Standing, alive bool, now time.Time) {
	before, known := t.reports[s.Address]
	t.heard++
	t.reports[s.Address] = report{standing: s, at: now, alive: alive, number: t.heard}
	row := t.rows[s.Instance]
	moved := known && before.standing.Instance != s.Instance || row != nil && row.Address != s.Address
	// A target that has moved, or is gone where it was, can leave a row to another address.
	if moved || known && before.alive != alive || now.Sub(t.joinedAt) >= joinEvery {
		t.join(now)
		return
	}
	t.joinAt(s.Address, now)
}

// Expire drops reports whose time is over.
func (t *Table) Expire(now time.Time) { t.join(now) }

// ListedAt is when the list was last read; zero before the first time.
func (t *Table) ListedAt() time.Time { return t.listedAt }

// Version grows with each change.
func (t *Table) Version() uint64 { return t.version }

// All returns all standings in order of instance. Nobody may change them.
func (t *Table) All() []*Standing {
	out := make([]*Standing, 0, len(t.rows))
	for _, id := range slices.Sorted(maps.Keys(t.rows)) {
		out = append(out, t.rows[id])
	}
	return out
}

// Since returns what changed after a version. Whole says that it is the entire table.
func (t *Table) Since(version uint64) (changed []*Standing, gone []string, whole bool) {
	whole = version == 0 || version > t.version ||
		len(t.gone) == maxDepartures && t.gone[0].version > version
	if whole {
		return t.All(), nil, true
	}
	for i := len(t.changes) - 1; i >= 0 && t.changes[i].version > version; i-- {
		if t.current(t.changes[i]) {
			changed = append(changed, t.rows[t.changes[i].instance])
		}
	}
	slices.SortFunc(changed, func(a, b *Standing) int { return strings.Compare(a.Instance, b.Instance) })
	for _, d := range t.gone {
		if d.version > version {
			gone = append(gone, d.instance)
		}
	}
	return changed, gone, false
}

// current reports whether a change is the newest of a row that still exists.
func (t *Table) current(m mark) bool {
	row := t.rows[m.instance]
	return row != nil && row.Version == m.version
}

// join derives all rows anew and marks what changed.
func (t *Table) join(now time.Time) {
	t.joinedAt = now
	t.replace(slices.Collect(maps.Keys(t.rows)), t.derive(now))
	t.at = make(map[string][]string, len(t.rows))
	for id, s := range t.rows { // any order: the order within an address means nothing
		t.at[s.Address] = append(t.at[s.Address], id)
	}
}

// joinAt derives the rows at one address anew and marks what changed.
func (t *Table) joinAt(address string, now time.Time) {
	fresh := map[string]Standing{}
	for _, id := range t.listedIn[address] {
		if s := t.listed[id]; !t.denied(s, now) {
			fresh[id] = s
		}
	}
	t.reported(address, now, fresh)
	t.replace(slices.DeleteFunc(t.at[address], func(id string) bool { return t.rows[id].Address != address }), fresh)
	t.at[address] = slices.Collect(maps.Keys(fresh))
}

// replace puts rows in the place of others.
func (t *Table) replace(old []string, fresh map[string]Standing) {
	changed := false
	for _, id := range old {
		if _, stays := fresh[id]; !stays {
			delete(t.rows, id)
			t.depart(id)
			changed = true
		}
	}
	for id, s := range fresh {
		before := t.rows[id]
		described := before != nil && sameDescription(before, &s)
		if !described || !sameLoad(before.Load, s.Load) {
			s.Version = t.version + 1
			s.DescriptionVersion = s.Version
			if described {
				s.DescriptionVersion = before.DescriptionVersion
			}
			t.rows[id] = &s
			t.changes = append(t.changes, mark{id, s.Version})
			changed = true
		}
	}
	if changed {
		t.version++
	}
	if len(t.changes) > maxStale*(len(t.rows)+1) {
		t.changes = slices.DeleteFunc(t.changes, func(m mark) bool { return !t.current(m) })
	}
}

// maxStale times as many changes as rows are kept before those that a newer one has
// overtaken are dropped.
const maxStale = 4

func (t *Table) depart(instance string) {
	t.gone = append(t.gone, mark{instance, t.version + 1})
	if len(t.gone) > maxDepartures {
		t.gone = slices.Clone(t.gone[len(t.gone)-maxDepartures:])
	}
}

func (t *Table) derive(now time.Time) map[string]Standing {
	out := make(map[string]Standing, len(t.listed))
	for id, s := range t.listed {
		if !t.denied(s, now) {
			out[id] = s
		}
	}
	// Where two agents report one target, as when it has moved, the newer report counts.
	byAge := slices.SortedFunc(maps.Keys(t.reports), func(a, b string) int {
		return cmp.Compare(t.reports[a].number, t.reports[b].number)
	})
	for _, address := range byAge {
		t.reported(address, now, out)
	}
	return out
}

// reported adds the row that the report of an address tells, if it still counts.
func (t *Table) reported(address string, now time.Time, out map[string]Standing) {
	r, known := t.reports[address]
	switch {
	case !known:
	case now.Sub(r.at) > AbsenceLife:
		delete(t.reports, address)
	case r.alive && now.Sub(r.at) <= ReportLife && r.standing.Instance != "":
		out[r.standing.Instance] = t.merge(r.standing)
	}
}

// denied reports whether the agent at a listed target's address contradicts the list.
func (t *Table) denied(s Standing, now time.Time) bool {
	r, known := t.reports[s.Address]
	return known && t.denies(r, s, now)
}

// denies reports whether a report contradicts the list on a target's existence:
// it does not answer, or another one answers at its address.
func (t *Table) denies(r report, s Standing, now time.Time) bool {
	if s.Service != r.standing.Service {
		return false // the address is another service's by now
	}
	if !r.alive {
		return now.Sub(r.at) <= AbsenceLife
	}
	return r.standing.Instance != s.Instance && now.Sub(r.at) <= ReportLife
}

// merge adds to a report what only the list says.
func (t *Table) merge(s Standing) Standing {
	s.Reported = true
	listed, ok := t.listed[s.Instance]
	if !ok {
		return s
	}
	s.Draining = s.Draining || listed.Draining
	if listed.Slots > 0 {
		s.Slots = listed.Slots
	}
	return s
}

func sameDescription(a, b *Standing) bool {
	return a.Instance == b.Instance && a.Service == b.Service && a.Address == b.Address &&
		a.FailureDomain == b.FailureDomain && a.Slots == b.Slots && a.Draining == b.Draining &&
		a.Reported == b.Reported && a.Agent == b.Agent &&
		slices.Equal(a.AtHand, b.AtHand) && slices.EqualFunc(a.Models, b.Models, sameHeld)
}

func sameLoad(a, b Load) bool {
	return a.Running == b.Running && a.Queued == b.Queued && a.Loading == b.Loading &&
		a.LoadWait == b.LoadWait && slices.Equal(a.Awaited, b.Awaited)
}

func sameHeld(a, b Held) bool { return a.Name == b.Name && slices.Equal(a.Adapters, b.Adapters) }
