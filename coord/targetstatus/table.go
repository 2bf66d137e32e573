package targetstatus

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"cowsliptiller/coord/ratelimit"
)

// HeldModel is a model that a target holds ready to serve, with its loaded adapters.
type HeldModel struct {
	Name     string
	Adapters []string
}

// Status is the state of one target.
type Status struct {
	Instance      string
	Service       string
	Address       string // IP:port
	FailureDomain string
	Slots         int // requests that the target runs at once
	Draining      bool
	StartedUnixMs int64 // start time, in milliseconds since the Unix epoch
	// SoftwareVersion is the version of the target's program, as the platform's list has it; empty: it
	// is not known. Streams of two versions do not fit together.
	SoftwareVersion string
	// WarmUpUntil is when the target has warmed up, by the receiver's clock; zero: it is warm.
	WarmUpUntil time.Time
	RateLimit   ratelimit.Observation // that the target announces, as its agent knows it
	// Unreachable reports that the target's host does not respond; see unreachable.go.
	Unreachable bool
	Models      []HeldModel

	// The fields below are set by agents' reports only.
	Reported     bool     // the row comes from an agent's report
	Agent        string   // IP:port of the agent; empty if none is known
	CachedModels []string // models of which the target has a local copy, in memory or on disk
	Load

	Version            uint64 // of the table at the row's last change
	DescriptionVersion uint64 // of the table at the last change of any field but Load
}

// Load is the part of a target's status that changes with nearly every report.
type Load struct {
	Running       int           // requests being processed
	Queued        int           // requests waiting at the target
	Loading       string        // model that is being loaded; empty if none
	LoadWait      time.Duration // until the target could begin another load
	PendingModels []string      // models that requests wait for and whose load has not begun
	// SpeedPercent is the lasting time of work at the target in percent of the usual one, as the leader
	// has it from the responses to entry hosts; 0: not known. It belongs to the load because it changes
	// at all targets at the same time where their hosts are busy.
	SpeedPercent int
	// PromptTokensPerSecond is the mean of the prompt tokens that the target processes, over a second; 0: none, or not
	// known.
	PromptTokensPerSecond int
}

// LoadUpdate is the new load of a target whose other fields the receiver already has.
type LoadUpdate struct {
	Instance string
	Version  uint64
	Load
}

// DescribedBy reports whether a client at a version of the table has the current value of all
// fields but Load.
func (s *Status) DescribedBy(version uint64) bool { return s.DescriptionVersion <= version }

// Saturated reports whether a target is saturated: requests are queued, or at least
// saturationThreshold of its slots are in use.
func Saturated(running, queued, slots int) bool {
	return queued > 0 || float64(running) >= saturationThreshold*float64(max(1, slots))
}

// saturationThreshold is the share of slots in use from which the free ones cannot absorb the
// variation of load between two reports.
const saturationThreshold = 0.8

// Saturated reports whether the target is saturated according to its agent's report.
func (s *Status) Saturated() bool { return s.Reported && Saturated(s.Running, s.Queued, s.Slots) }

// Lifetimes of agents' reports.
const (
	// ReportTTL is how long a report of a target that answers its agent is valid. Afterwards
	// the target's list entry is used: the agent may be down while its target serves.
	ReportTTL = 2 * time.Second
	// DownReportTTL is how long a target that does not answer its agent is left out of the
	// table although the platform lists it: the list lags by several seconds.
	DownReportTTL = 6 * time.Second
)

// Table merges the platform's list with agents' reports. It is not safe for concurrent use.
//
// Load pattern: agents report, and entry hosts poll for changes, several times a second.
// Without it: rebuilding the table at each report and scanning it at each poll used all of a
// control leader's CPU with 3000 targets, and its callers got no replies.
// Rule: a report updates the rows at its own address, changes are kept in order, and the whole
// table is rebuilt a few times a second, for reports that expire.
//
// Load pattern: 70 entry hosts poll for 125 targets, whose load changes with every report.
// Without it: each change of load sends a status with all model names, which rarely change; the
// leader's link is saturated, and replies to other calls queue behind it for 100 ms.
// Rule: a client that has a target's other fields is sent its load only.
type Table struct {
	version         uint64
	rows            map[string]*Status  // by instance
	byAddress       map[string][]string // instances of rows, by address
	listed          map[string]Status   // by instance, as last read
	listedByAddress map[string][]string // instances of listed, by address
	listedAt        time.Time
	rebuiltAt       time.Time         // when the whole table was last rebuilt
	reports         map[string]report // by address of the target
	reportCount     uint64            // reports received
	domains         map[string]Domain // by name; nil: none was ever evacuated
	speeds          map[string]int    // lasting speeds in percent, by instance; see SetSpeed
	failedProbes    failedProbes
	reachability    []ReachabilityChange // not taken yet
	changes         []changeRecord       // oldest first; only the latest record of a row is valid
	removed         []changeRecord       // oldest first
}

type report struct {
	standing Status
	at       time.Time
	alive    bool   // the target answers its agent
	sequence uint64 // order of receipt
}

// changeRecord records that an instance's row changed, or was removed, at a table version.
type changeRecord struct {
	instance string
	version  uint64
}

// rebuildInterval is the longest interval between rebuilds of the whole table while reports
// arrive, which bounds how long an expired report stays in use.
const rebuildInterval = ReportTTL / 4

// maxRemovals limits the removals that are kept for clients with an old version; a client that
// is further behind gets the whole table.
const maxRemovals = 256

// NewTable returns an empty table at firstVersion. A client must not use a version of another
// table, such as a former leader's, with this one.
func NewTable(firstVersion uint64) *Table {
	return &Table{
		version: firstVersion, rows: map[string]*Status{}, byAddress: map[string][]string{},
		listed: map[string]Status{}, listedByAddress: map[string][]string{}, reports: map[string]report{},
		failedProbes: failedProbes{}, speeds: map[string]int{},
	}
}

// SetList replaces the platform's list with the one read at now.
func (t *Table) SetList(list []Status, now time.Time) {
	t.listed = make(map[string]Status, len(list))
	t.listedByAddress = make(map[string][]string, len(list))
	for _, s := range list {
		t.listed[s.Instance] = s
		t.listedByAddress[s.Address] = append(t.listedByAddress[s.Address], s.Instance)
	}
	t.listedAt = now
	t.rebuild(now)
}

// Report records an agent's report on the target at s.Address. Alive is false if the target
// does not answer its agent.
func (t *Table) Report(s Status, alive bool, now time.Time) {
	previous, known := t.reports[s.Address]
	t.reportCount++
	t.reports[s.Address] = report{standing: s, at: now, alive: alive, sequence: t.reportCount}
	row := t.rows[s.Instance]
	moved := known && previous.standing.Instance != s.Instance || row != nil && row.Address != s.Address
	// If a target moved, or one stopped or resumed answering, the rows at another address can
	// change too.
	if moved || known && previous.alive != alive || now.Sub(t.rebuiltAt) >= rebuildInterval {
		t.rebuild(now)
		return
	}
	t.rebuildAddress(s.Address, now)
}

// Expire drops expired reports and rebuilds the table.
func (t *Table) Expire(now time.Time) { t.rebuild(now) }

// ListedAt returns when the list was last read, or the zero time if it never was.
func (t *Table) ListedAt() time.Time { return t.listedAt }

// Version returns the version of the last change; it only increases.
func (t *Table) Version() uint64 { return t.version }

// All returns the status of all targets in order of instance. The rows are read-only.
func (t *Table) All() []*Status {
	out := make([]*Status, 0, len(t.rows))
	for _, id := range slices.Sorted(maps.Keys(t.rows)) {
		out = append(out, t.rows[id])
	}
	return out
}

// Has reports whether the table has a row of an instance.
func (t *Table) Has(instance string) bool { return t.rows[instance] != nil }

// Get returns the row of an instance, nil if there is none.
func (t *Table) Get(instance string) *Status { return t.rows[instance] }

// HasAgent reports whether an agent has reported on a target within DownReportTTL.
func (t *Table) HasAgent(instance string, now time.Time) bool {
	row := t.rows[instance]
	if row == nil {
		return false
	}
	r, known := t.reports[row.Address]
	return known && now.Sub(r.at) <= DownReportTTL
}

// Since returns the rows that changed and the instances that were removed after a version.
// Whole reports that changed is the entire table and replaces what the client has.
func (t *Table) Since(version uint64) (changed []*Status, gone []string, whole bool) {
	whole = version == 0 || version > t.version ||
		len(t.removed) == maxRemovals && t.removed[0].version > version
	if whole {
		return t.All(), nil, true
	}
	for i := len(t.changes) - 1; i >= 0 && t.changes[i].version > version; i-- {
		if t.isLatest(t.changes[i]) {
			changed = append(changed, t.rows[t.changes[i].instance])
		}
	}
	slices.SortFunc(changed, func(a, b *Status) int { return strings.Compare(a.Instance, b.Instance) })
	for _, r := range t.removed {
		if r.version > version {
			gone = append(gone, r.instance)
		}
	}
	return changed, gone, false
}

// isLatest reports whether a change is the latest of a row that still exists.
func (t *Table) isLatest(c changeRecord) bool {
	row := t.rows[c.instance]
	return row != nil && row.Version == c.version
}

// rebuild recomputes all rows and records the changes.
func (t *Table) rebuild(now time.Time) {
	t.rebuiltAt = now
	t.replaceRows(slices.Collect(maps.Keys(t.rows)), t.buildRows(now))
	t.byAddress = make(map[string][]string, len(t.rows))
	for id, s := range t.rows { // any order: instances of an address are not ordered
		t.byAddress[s.Address] = append(t.byAddress[s.Address], id)
	}
}

// rebuildAddress recomputes the rows at one address and records the changes.
func (t *Table) rebuildAddress(address string, now time.Time) {
	fresh := map[string]Status{}
	for _, id := range t.listedByAddress[address] {
		if s := t.listed[id]; !t.contradicted(s, now) {
			fresh[id] = t.decorate(s, now)
		}
	}
	t.addReported(address, now, fresh)
	t.replaceRows(slices.DeleteFunc(t.byAddress[address], func(id string) bool { return t.rows[id].Address != address }), fresh)
	t.byAddress[address] = slices.Collect(maps.Keys(fresh))
}

// replaceRows replaces the rows of the old instances by fresh, and records what changed.
func (t *Table) replaceRows(old []string, fresh map[string]Status) {
	changed := false
	for _, id := range old {
		if _, kept := fresh[id]; !kept {
			delete(t.rows, id)
			t.recordRemoval(id)
			changed = true
		}
	}
	for id, s := range fresh {
		previous := t.rows[id]
		t.recordReachability(previous, &s)
		onlyLoad := previous != nil && sameDescription(previous, &s)
		if !onlyLoad || !sameLoad(previous.Load, s.Load) {
			s.Version = t.version + 1
			s.DescriptionVersion = s.Version
			if onlyLoad {
				s.DescriptionVersion = previous.DescriptionVersion
			}
			t.rows[id] = &s
			t.changes = append(t.changes, changeRecord{id, s.Version})
			changed = true
		}
	}
	if changed {
		t.version++
	}
	if len(t.changes) > maxChangesPerRow*(len(t.rows)+1) {
		t.changes = slices.DeleteFunc(t.changes, func(c changeRecord) bool { return !t.isLatest(c) })
	}
}

// maxChangesPerRow is the number of change records per row, on average, from which superseded
// records are dropped.
const maxChangesPerRow = 4

func (t *Table) recordRemoval(instance string) {
	t.removed = append(t.removed, changeRecord{instance, t.version + 1})
	if len(t.removed) > maxRemovals {
		t.removed = slices.Clone(t.removed[len(t.removed)-maxRemovals:])
	}
}

func (t *Table) buildRows(now time.Time) map[string]Status {
	out := make(map[string]Status, len(t.listed))
	for id, s := range t.listed {
		if !t.contradicted(s, now) {
			out[id] = t.decorate(s, now)
		}
	}
	// If two agents report the same instance, as after it moved, the later report wins.
	oldestFirst := slices.SortedFunc(maps.Keys(t.reports), func(a, b string) int {
		return cmp.Compare(t.reports[a].sequence, t.reports[b].sequence)
	})
	for _, address := range oldestFirst {
		t.addReported(address, now, out)
	}
	return out
}

// addReported adds the row of the report at an address if it is valid, and drops it if it is
// older than DownReportTTL.
func (t *Table) addReported(address string, now time.Time, out map[string]Status) {
	r, known := t.reports[address]
	switch {
	case !known:
	case now.Sub(r.at) > DownReportTTL:
		delete(t.reports, address)
	case r.alive && now.Sub(r.at) <= ReportTTL && r.standing.Instance != "":
		out[r.standing.Instance] = t.decorate(t.merge(r.standing), now)
	}
}

// decorate returns a row as its failure domain, the probes of its host and its speed make it.
func (t *Table) decorate(s Status, now time.Time) Status {
	s = t.withDomain(s)
	s.Unreachable = t.isUnreachable(&s, now)
	s.SpeedPercent = t.speeds[s.Instance]
	return s
}

// contradicted reports whether a report at a listed target's address contradicts the list.
func (t *Table) contradicted(s Status, now time.Time) bool {
	r, known := t.reports[s.Address]
	return known && t.contradicts(r, s, now)
}

// contradicts reports whether a valid report shows that a listed target does not exist: the
// target does not answer, or another instance answers at its address.
func (t *Table) contradicts(r report, s Status, now time.Time) bool {
	if s.Service != r.standing.Service {
		return false // the address was reassigned to another service
	}
	if !r.alive {
		return now.Sub(r.at) <= DownReportTTL
	}
	return r.standing.Instance != s.Instance && now.Sub(r.at) <= ReportTTL
}

// merge adds the list's Draining, Slots and warm-up to a report.
func (t *Table) merge(s Status) Status {
	s.Reported = true
	listed, ok := t.listed[s.Instance]
	if !ok {
		return s
	}
	s.Draining = s.Draining || listed.Draining
	s.WarmUpUntil = later(s.WarmUpUntil, listed.WarmUpUntil)
	if listed.StartedUnixMs == s.StartedUnixMs {
		s.SoftwareVersion = listed.SoftwareVersion // otherwise the list has an earlier process with this id
	}
	if listed.Slots > 0 {
		s.Slots = listed.Slots
	}
	return s
}

func later(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}

// warmUpTolerance is the error up to which two ends of a warm-up count as equal. Each reading
// of the list and each report gives another one, and each change is sent to all entry hosts.
const warmUpTolerance = 250 * time.Millisecond

func sameWarmUp(a, b time.Time) bool {
	return a.IsZero() == b.IsZero() && b.Sub(a).Abs() <= warmUpTolerance
}

// rateLimitTolerance is the age difference up to which two observations of one limit count as
// equal. Each answer gives another one, and each change is sent to all entry hosts.
const rateLimitTolerance = time.Second

func sameRateLimit(a, b ratelimit.Observation) bool {
	return a.SameLimit(b) && b.At.Sub(a.At).Abs() <= rateLimitTolerance
}

func sameDescription(a, b *Status) bool {
	return a.Instance == b.Instance && a.Service == b.Service && a.Address == b.Address &&
		a.FailureDomain == b.FailureDomain && a.Slots == b.Slots && a.Draining == b.Draining && a.Unreachable == b.Unreachable &&
		a.SoftwareVersion == b.SoftwareVersion &&
		a.Reported == b.Reported && a.Agent == b.Agent && sameWarmUp(a.WarmUpUntil, b.WarmUpUntil) &&
		sameRateLimit(a.RateLimit, b.RateLimit) &&
		slices.Equal(a.CachedModels, b.CachedModels) && slices.EqualFunc(a.Models, b.Models, sameHeld)
}

func sameLoad(a, b Load) bool {
	return a.Running == b.Running && a.Queued == b.Queued && a.Loading == b.Loading &&
		a.LoadWait == b.LoadWait && a.SpeedPercent == b.SpeedPercent && a.PromptTokensPerSecond == b.PromptTokensPerSecond &&
		slices.Equal(a.PendingModels, b.PendingModels)
}

func sameHeld(a, b HeldModel) bool { return a.Name == b.Name && slices.Equal(a.Adapters, b.Adapters) }
