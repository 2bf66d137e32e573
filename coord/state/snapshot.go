package state

import (
	"google.golang.org/protobuf/proto"

	"cowsliptiller/coord/config"
	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/deployment"
	"cowsliptiller/coord/fault"
)

// SnapshotVersion is the version of the snapshot encoding. It changes when the meaning
// of a field changes; adding a field does not change it.
const SnapshotVersion = 1

// Snapshot encodes the complete state. Equal states give equal bytes on members that
// run the same build.
func (s *State) Snapshot() ([]byte, error) {
	return proto.MarshalOptions{Deterministic: true}.Marshal(s.export())
}

func (s *State) export() *coordpb.StateSnapshot {
	c := &s.configuration
	m := &coordpb.StateSnapshot{
		Version: SnapshotVersion, Revision: s.revision, NowUnixMs: s.now,
		ConfigurationRevision: c.revision, Questionnaire: c.questionnaire,
		QuestionnaireStateRevision: c.stateRevision, SubmissionId: c.submissionID,
		NextFencing: s.replicas.nextFencing, NextAudit: s.audit.next,
		Keys: sortedRows(s.keys.rows), Hosts: sortedRows(s.hosts.rows), Replicas: sortedRows(s.replicas.rows),
		Claims: sortedRows(s.claims.rows), Strikes: sortedRows(s.strikes.rows), Leases: sortedRows(s.leases.rows),
		Audit: s.audit.records, Tombstones: s.tombstones.rows, TombstoneFloor: s.tombstones.floor,
		Forgotten: s.hosts.forgotten, Evacuations: sortedRows(s.evacuations.rows),
		Parts: sortedRows(s.parts.rows),
	}
	s.deployment.Export(m)
	for _, id := range c.order {
		m.Submissions = append(m.Submissions, c.submissions[id])
	}
	for _, id := range s.results.order {
		m.Results = append(m.Results, s.results.rows[id])
	}
	return m
}

// Restore replaces the state with a snapshot. A snapshot that is corrupt or has an
// unknown version is rejected and the state stays unchanged: decoding it anyway would
// drop fields that a newer version relies on, and the member would diverge silently.
//
// Errors: fault.InvalidRequest, or the error of config.Parse for the questionnaire.
func (s *State) Restore(data []byte) error {
	m := &coordpb.StateSnapshot{}
	if err := proto.Unmarshal(data, m); err != nil {
		return fault.New(fault.InvalidRequest, "decode snapshot of the control state: %v", err)
	}
	if m.Version != SnapshotVersion {
		return fault.New(fault.InvalidRequest, "snapshot of the control state has version %d, this build reads only version %d", m.Version, SnapshotVersion)
	}
	restored, err := importSnapshot(m)
	if err != nil {
		return err
	}
	*s = *restored
	return nil
}

// importSnapshot builds a state from a decoded snapshot.
func importSnapshot(m *coordpb.StateSnapshot) (*State, error) {
	s := New()
	s.revision, s.now = m.Revision, m.NowUnixMs
	if err := s.configuration.load(m); err != nil {
		return nil, err
	}
	s.deployment = deployment.Import(m)
	s.keys.load(m.Keys)
	for _, row := range m.Hosts {
		s.hosts.rows[HostID(row.Host, row.Role)] = row
	}
	s.hosts.forgotten = m.Forgotten
	for _, row := range m.Replicas {
		s.replicas.rows[ReplicaID(row.Model, row.Target)] = row
	}
	s.replicas.nextFencing = m.NextFencing
	for _, row := range m.Claims {
		s.claims.replace(claimID(row.Workspace, row.IdempotencyKey), row)
	}
	for _, row := range m.Strikes {
		s.strikes.rows[StrikesID(row.Workspace, row.Fingerprint)] = row
	}
	s.parts = newParts(m.Parts)
	for _, row := range m.Leases {
		s.leases.rows[row.Name] = row
	}
	for _, row := range m.Evacuations {
		s.evacuations.rows[row.FailureDomain] = row
	}
	for _, row := range m.Results {
		s.results.put(row)
	}
	s.audit = audit{records: m.Audit, next: m.NextAudit}
	s.tombstones = tombstones{rows: m.Tombstones, floor: m.TombstoneFloor}
	return s, nil
}

// load restores the configuration and generates it anew from the questionnaire.
func (c *configuration) load(m *coordpb.StateSnapshot) error {
	c.revision, c.stateRevision = m.ConfigurationRevision, m.QuestionnaireStateRevision
	c.questionnaire, c.submissionID = m.Questionnaire, m.SubmissionId
	for _, row := range m.Submissions {
		c.recordSubmission(row)
	}
	if c.revision == 0 {
		return nil
	}
	q, err := config.Parse(c.questionnaire)
	if err != nil {
		return err
	}
	c.derived = config.Generate(q, c.revision)
	return nil
}

// load restores the keys. The order of withdrawals is that of the row revisions,
// which only increase.
func (k *keys) load(rows []*coordpb.Key) {
	for _, row := range rows {
		k.put(row)
	}
	k.withdrawn = withdrawnIDs(rows)
}
