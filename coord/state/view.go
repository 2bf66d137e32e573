package state

import "cowsliptiller/coord/coordpb"

// View returns the changes since a revision. It returns the full view if since is 0,
// is older than the tombstones cover, or is ahead of this state.
func (s *State) View(since uint64) *coordpb.View {
	full := since == 0 || since < s.tombstones.floor || since > s.revision
	if full {
		since = 0
	}
	v := &coordpb.View{Revision: s.revision, Since: since, ConfigurationRevision: s.configuration.revision}
	if s.configuration.stateRevision > since {
		v.Questionnaire = s.configuration.questionnaire
	}
	v.Deployment = s.deployment.ChangedSince(since)
	v.Keys = changedSince(s.keys.rows, since)
	v.Hosts = changedSince(s.hosts.rows, since)
	v.Replicas = changedSince(s.replicas.rows, since)
	v.Strikes = changedSince(s.strikes.rows, since)
	v.Parts = changedSince(s.parts.rows, since)
	v.Evacuations = changedSince(s.evacuations.rows, since)
	if !full {
		v.Tombstones = s.tombstones.since(since)
	}
	return v
}

// versionedRow is a row that carries the revision of its last change.
type versionedRow interface {
	GetRevision() uint64
}

// changedSince returns the rows with a revision above since, ordered by id.
func changedSince[R versionedRow](rows map[string]R, since uint64) []R {
	recent := map[string]R{}
	for id, row := range rows {
		if row.GetRevision() > since {
			recent[id] = row
		}
	}
	out := make([]R, 0, len(recent))
	for _, id := range sortedIDs(recent) {
		out = append(out, recent[id])
	}
	return out
}

// since returns the tombstones above a revision. A row that was created again after
// its deletion is in the same view with a higher revision, so followers must apply
// tombstones before rows.
func (t *tombstones) since(revision uint64) []*coordpb.Tombstone {
	for i, row := range t.rows {
		if row.Revision > revision {
			return t.rows[i:]
		}
	}
	return nil
}
