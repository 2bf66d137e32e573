package state

import (
	"slices"
	"strings"

	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/fault"
)

// Roles of the hosts that follow the view.
const (
	RoleEntry = "entry"
	RoleAgent = "agent"
)

// hosts is the aggregate of the hosts that run entry processes and agents. An
// incarnation identifies one start of a process. A process that was replaced by a
// newer one on the same host (because it was suspended, partitioned, or started
// twice) could otherwise register again and displace the newer one. The table
// therefore keeps past incarnations and rejects them.
//
// A host may run both roles, in one process or two. Each role has its own row.
//
// The incarnations of a forgotten host are kept. If the host registers again under
// a new incarnation, the earlier ones are still rejected, and the row lists them as
// past incarnations, so that it is not mistaken for the first run on that host.
type hosts struct {
	rows      map[string]*coordpb.Host
	forgotten []*coordpb.Host // last rows of forgotten hosts, oldest first, one per id
}

// HostID returns the id of the row of one role of a host, as used in tables and
// tombstones.
func HostID(host, role string) string {
	return host + "/" + role
}

// rowIDs returns the ids of the rows of a host, in sorted order.
func (h *hosts) rowIDs(name string) []string {
	var ids []string
	for _, role := range []string{RoleAgent, RoleEntry} {
		if _, ok := h.rows[HostID(name, role)]; ok {
			ids = append(ids, HostID(name, role))
		}
	}
	return ids
}

func newHosts() hosts {
	return hosts{rows: map[string]*coordpb.Host{}}
}

// register stores the registration of a host. restarted reports whether it has a
// new incarnation.
func (h *hosts) register(m *coordpb.RegisterHost, at commandContext) (row *coordpb.Host, changed, restarted bool, err error) {
	if err := checkRegistration(m); err != nil {
		return nil, false, false, err
	}
	id := HostID(m.Host, m.Role)
	old, known := h.rows[id]
	past := h.pastIncarnations(id, m.Incarnation)
	if !known && len(h.rows) >= MaxHosts {
		return nil, false, false, fault.New(fault.Overloaded, "%d hosts are known, no more are allowed", MaxHosts)
	}
	if slices.Contains(past, m.Incarnation) {
		return old, false, false, fault.New(fault.Fenced, "host %q was restarted since incarnation %q", m.Host, m.Incarnation)
	}
	if known && sameRegistration(old, m) {
		return old, false, false, nil
	}
	restarted = !known || old.Incarnation != m.Incarnation
	row = &coordpb.Host{
		Host: m.Host, Incarnation: m.Incarnation, FailureDomain: m.FailureDomain,
		Role: m.Role, Address: m.Address, Target: m.Target, Revision: at.revision,
	}
	row.PastIncarnations = past
	row.Leaving = old.GetLeaving()
	h.setForgotten(id, nil)
	h.rows[id] = row
	return row, true, restarted, nil
}

func checkRegistration(m *coordpb.RegisterHost) error {
	if err := checkName("host", m.Host); err != nil {
		return err
	}
	if strings.Contains(m.Host, "/") {
		return fault.New(fault.InvalidRequest, "host %q: a name without '/' is needed", m.Host)
	}
	if err := checkName("incarnation", m.Incarnation); err != nil {
		return err
	}
	if m.Role != RoleEntry && m.Role != RoleAgent {
		return fault.New(fault.InvalidRequest, "role %q: %s or %s are allowed", m.Role, RoleEntry, RoleAgent)
	}
	if m.Role == RoleAgent {
		return checkName("target", m.Target)
	}
	return nil
}

func sameRegistration(h *coordpb.Host, m *coordpb.RegisterHost) bool {
	return h.Incarnation == m.Incarnation && h.FailureDomain == m.FailureDomain &&
		h.Role == m.Role && h.Address == m.Address && h.Target == m.Target
}

// drain sets or clears the leaving mark on all roles of a host and returns one of
// its rows.
func (h *hosts) drain(m *coordpb.DrainHost, at commandContext) (row *coordpb.Host, changed bool, err error) {
	ids := h.rowIDs(m.Host)
	if len(ids) == 0 {
		return nil, false, fault.New(fault.NotFound, "no host is named %q", m.Host)
	}
	for _, id := range ids {
		if h.rows[id].Leaving == m.Leaving {
			continue
		}
		changed = true
		row := cloneRow(h.rows[id])
		row.Leaving = m.Leaving
		row.Revision = at.revision
		h.rows[id] = row
	}
	return h.rows[ids[0]], changed, nil
}

// forget removes all roles of a host, keeps their incarnations, and returns the
// removed rows.
func (h *hosts) forget(m *coordpb.ForgetHost) ([]*coordpb.Host, error) {
	var removed []*coordpb.Host
	for _, id := range h.rowIDs(m.Host) {
		removed = append(removed, h.rows[id])
		h.setForgotten(id, h.rows[id])
		delete(h.rows, id)
	}
	if len(removed) == 0 {
		return nil, fault.New(fault.NotFound, "no host is named %q", m.Host)
	}
	return removed, nil
}

// isTargetLeaving reports whether the host whose agent manages a target is leaving, or its
// failure domain is evacuated.
func (h *hosts) isTargetLeaving(target string, e *evacuations) bool {
	for _, row := range h.rows { // order-independent: any match suffices
		if row.Role == RoleAgent && row.Target == target && (row.Leaving || e.rows[row.FailureDomain].GetEvacuated()) {
			return true
		}
	}
	return false
}

// hasAgent reports whether any host runs the agent of a target. After an agent moved
// to a host with another name, forgetting the old host must not remove the replicas
// that the new one manages.
func (h *hosts) hasAgent(target string) bool {
	for _, row := range h.rows { // order-independent: any match suffices
		if row.Role == RoleAgent && row.Target == target {
			return true
		}
	}
	return false
}

// checkConfirmation rejects a confirmation from a superseded agent. An agent that
// resumes after a suspension would otherwise report what its engine held before a
// newer incarnation, or a restart of the engine, changed it. A confirmation that
// names no host is not checked.
func (h *hosts) checkConfirmation(m *coordpb.ConfirmReplica) error {
	if m.Host == "" {
		return nil
	}
	row := h.rows[HostID(m.Host, RoleAgent)]
	if row == nil || row.Incarnation != m.Incarnation || row.Target != m.Target {
		return fault.New(fault.Fenced, "host %q, incarnation %q, does not answer for target %q", m.Host, m.Incarnation, m.Target)
	}
	return nil
}
