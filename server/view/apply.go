package view

import (
	"maps"
	"slices"
	"strings"

	"cowsliptiller/coord/config"
	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/deployment"
	"cowsliptiller/coord/fault"
	"cowsliptiller/coord/request"
	"cowsliptiller/coord/state"
)

// applyView returns the snapshot that results from applying a view to the previous
// snapshot, which is not modified. A delta from another revision than the previous
// snapshot's is rejected: applied to the wrong base, it would permanently miss rows.
func applyView(before *Snapshot, v *coordpb.View) (*Snapshot, error) {
	if v.Since != 0 && (before == nil || before.Revision != v.Since) {
		return nil, fault.New(fault.Internal, "view is a delta from revision %d, which is not the revision held", v.Since)
	}
	s := emptySnapshot()
	if v.Since != 0 {
		s = clone(before)
	}
	s.Revision = v.Revision
	if err := s.setConfiguration(v); err != nil {
		return nil, err
	}
	d, err := deploymentOf(v)
	if err != nil {
		return nil, err
	}
	if d != nil {
		s.Deployment, s.Routes = d, deployment.NewIndex(d)
	}
	for _, t := range v.Tombstones {
		s.deleteRow(t)
	}
	s.upsertRows(v)
	s.buildIndexes()
	return s, nil
}

func emptySnapshot() *Snapshot {
	return &Snapshot{
		Keys:          map[Digest]*coordpb.Key{},
		Hosts:         map[string]*coordpb.Host{},
		AgentByTarget: map[string]*coordpb.Host{},
		EntryHosts:    map[string]*coordpb.Host{},
		Replicas:      map[string][]*coordpb.Replica{},
		Strikes:       map[string]*coordpb.Strikes{},
		Parts:         request.PartRows{},
		Evacuations:   map[string]*coordpb.Evacuation{},
		rows:          newRows(),
	}
}

// rows holds the tables as control stores them. The exported maps are built from them.
type rows struct {
	keys     map[string]*coordpb.Key
	hosts    map[string]*coordpb.Host
	replicas map[string]*coordpb.Replica
	strikes  map[string]*coordpb.Strikes
	parts    map[string]*coordpb.PartStrikes
}

func newRows() rows {
	return rows{
		keys:     map[string]*coordpb.Key{},
		hosts:    map[string]*coordpb.Host{},
		replicas: map[string]*coordpb.Replica{},
		strikes:  map[string]*coordpb.Strikes{},
		parts:    map[string]*coordpb.PartStrikes{},
	}
}

func clone(s *Snapshot) *Snapshot {
	n := emptySnapshot()
	n.Configuration = s.Configuration
	n.Deployment, n.Routes = s.Deployment, s.Routes
	n.rows = rows{
		keys:     maps.Clone(s.rows.keys),
		hosts:    maps.Clone(s.rows.hosts),
		replicas: maps.Clone(s.rows.replicas),
		strikes:  maps.Clone(s.rows.strikes),
		parts:    maps.Clone(s.rows.parts),
	}
	n.Evacuations = maps.Clone(s.Evacuations)
	return n
}

// setConfiguration generates the configuration if the view contains a questionnaire. A
// questionnaire that this version cannot parse is an error: applying the rest of the view
// without it would serve requests under an outdated configuration.
func (s *Snapshot) setConfiguration(v *coordpb.View) error {
	text, err := questionnaireOf(v)
	if err != nil {
		return err
	}
	if len(text) == 0 {
		return nil
	}
	q, err := config.Parse(text)
	if err != nil {
		return err
	}
	s.Configuration = config.Generate(q, v.ConfigurationRevision)
	return nil
}

func (s *Snapshot) deleteRow(t *coordpb.Tombstone) {
	switch t.Table {
	case state.TableKey:
		delete(s.rows.keys, t.Id)
	case state.TableHost:
		delete(s.rows.hosts, t.Id)
	case state.TableReplica:
		delete(s.rows.replicas, t.Id)
	case state.TableStrikes:
		delete(s.rows.strikes, t.Id)
	case state.TableParts:
		delete(s.rows.parts, t.Id)
	}
}

func (s *Snapshot) upsertRows(v *coordpb.View) {
	for _, k := range v.Keys {
		s.rows.keys[k.KeyId] = k
	}
	for _, h := range v.Hosts {
		s.rows.hosts[state.HostID(h.Host, h.Role)] = h
	}
	for _, r := range v.Replicas {
		s.rows.replicas[state.ReplicaID(r.Model, r.Target)] = r
	}
	for _, e := range v.Evacuations {
		s.Evacuations[e.FailureDomain] = e
	}
	for _, p := range v.Parts {
		s.rows.parts[state.PartID(request.Part(p.Part))] = p
	}
	for _, k := range v.Strikes {
		s.rows.strikes[state.StrikesID(k.Workspace, k.Fingerprint)] = k
	}
}

// buildIndexes fills the exported maps from the rows.
func (s *Snapshot) buildIndexes() {
	for _, k := range s.rows.keys {
		if len(k.Digest) == len(Digest{}) {
			s.Keys[Digest(k.Digest)] = k
		}
	}
	for _, id := range slices.Sorted(maps.Keys(s.rows.hosts)) {
		s.indexHost(s.rows.hosts[id])
	}
	for _, id := range slices.Sorted(maps.Keys(s.rows.replicas)) {
		r := s.rows.replicas[id]
		s.Replicas[r.Model] = append(s.Replicas[r.Model], r)
	}
	for _, list := range s.Replicas {
		slices.SortFunc(list, func(a, b *coordpb.Replica) int { return strings.Compare(a.Target, b.Target) })
	}
	for _, k := range s.rows.strikes {
		s.Strikes[StrikeID(k.Workspace, k.Fingerprint)] = k
	}
	for _, p := range s.rows.parts {
		s.Parts[request.Part(p.Part)] = state.PartStrikes(p)
	}
}

// indexHost adds a host to the maps. If two agents are registered for the same target, the
// one registered last takes precedence.
func (s *Snapshot) indexHost(h *coordpb.Host) {
	if _, exists := s.Hosts[h.Host]; !exists {
		s.Hosts[h.Host] = h
	}
	if h.Role != state.RoleAgent {
		s.EntryHosts[h.Host] = h
		return
	}
	if other := s.AgentByTarget[h.Target]; other == nil || other.Revision < h.Revision {
		s.AgentByTarget[h.Target] = h
	}
}
