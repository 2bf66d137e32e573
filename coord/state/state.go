package state

import (
	"google.golang.org/protobuf/proto"

	"cowsliptiller/coord/config"
	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/deployment"
	"cowsliptiller/coord/fault"
)

// State is the complete replicated state. The zero value is not usable; use New.
type State struct {
	revision      uint64
	now           int64
	configuration configuration
	deployment    deployment.Register
	keys          keys
	hosts         hosts
	replicas      replicas
	claims        claims
	strikes       strikes
	parts         parts
	leases        leases
	evacuations   evacuations
	results       results
	audit         audit
	tombstones    tombstones
}

// New returns an empty state, before the first command.
func New() *State {
	return &State{
		configuration: newConfiguration(),
		keys:          newKeys(),
		hosts:         newHosts(),
		replicas:      newReplicas(),
		claims:        newClaims(),
		strikes:       newStrikes(),
		parts:         newParts(nil),
		leases:        newLeases(),
		evacuations:   newEvacuations(),
		results:       newResults(),
		audit:         newAudit(),
	}
}

// Revision returns the revision of the view that followers replicate. Each command
// that changes the view increments it by one.
func (s *State) Revision() uint64 { return s.revision }

// ConfigurationRevision returns the revision of the current questionnaire, 0 before the first.
func (s *State) ConfigurationRevision() uint64 { return s.configuration.revision }

// Configuration returns the configuration generated from the current questionnaire,
// nil before the first.
func (s *State) Configuration() *config.Configuration { return s.configuration.derived }

// Questionnaire returns the text of the current questionnaire.
func (s *State) Questionnaire() []byte { return s.configuration.questionnaire }

// ConfigurationAt returns the configuration revision contained in the view at the
// given state revision.
func (s *State) ConfigurationAt(revision uint64) uint64 {
	if revision >= s.configuration.stateRevision {
		return s.configuration.revision
	}
	latest := uint64(0)
	for _, id := range s.configuration.order {
		sub := s.configuration.submissions[id]
		if sub.Kind == "" && sub.StateRevision <= revision {
			latest = max(latest, sub.Revision)
		}
	}
	return latest
}

// Deployment returns the current configuration of the platform, nil before the first.
func (s *State) Deployment() *coordpb.Deployment { return s.deployment.InForce() }

// DeploymentSource returns the document from which the current deployment was generated.
func (s *State) DeploymentSource() deployment.Source { return s.deployment.Source() }

// Keys returns all keys, ordered by id.
func (s *State) Keys() []*coordpb.Key { return sortedRows(s.keys.rows) }

// Hosts returns the rows of all hosts, ordered by name and role.
func (s *State) Hosts() []*coordpb.Host { return sortedRows(s.hosts.rows) }

// Host returns the row of one role of a host, nil if it is not registered.
func (s *State) Host(name, role string) *coordpb.Host { return s.hosts.rows[HostID(name, role)] }

// Replicas returns all replica decisions, ordered by model and target.
func (s *State) Replicas() []*coordpb.Replica { return sortedRows(s.replicas.rows) }

// Claim returns a claim, nil if there is none.
func (s *State) Claim(workspace, key string) *coordpb.Claim {
	return s.claims.rows[claimID(workspace, key)]
}

// Lease returns a lease, nil if it was never acquired. The lease may have expired.
func (s *State) Lease(name string) *coordpb.Lease { return s.leases.rows[name] }

// Audit returns up to limit audit records with a sequence number above after,
// oldest first.
func (s *State) Audit(after uint64, limit int) []*coordpb.AuditRecord {
	var out []*coordpb.AuditRecord
	for _, r := range s.audit.records {
		if r.Sequence > after && len(out) < limit {
			out = append(out, r)
		}
	}
	return out
}

// sortedRows returns the rows of a table, ordered by id.
func sortedRows[R proto.Message](rows map[string]R) []R {
	out := make([]R, 0, len(rows))
	for _, id := range sortedIDs(rows) {
		out = append(out, rows[id])
	}
	return out
}

// errorResult converts an error into a result.
func errorResult(err error) *coordpb.Result {
	f := fault.From(err)
	return &coordpb.Result{Kind: string(f.Kind), Message: f.Message}
}

// ResultError converts a result into an error of package fault, nil for success.
func ResultError(r *coordpb.Result) error {
	if r.GetKind() == "" {
		return nil
	}
	return fault.New(fault.Kind(r.Kind), "%s", r.Message)
}
