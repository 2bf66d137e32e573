package state

import (
	"google.golang.org/protobuf/proto"

	"cowsliptiller/coord/config"
	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/deployment"
	"cowsliptiller/coord/fault"
)

// State is the whole replicated state. The zero value is not usable: see New.
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
	leases        leases
	results       results
	audit         audit
	tombstones    tombstones
}

// New returns the state before the first command.
func New() *State {
	return &State{
		configuration: newConfiguration(),
		keys:          newKeys(),
		hosts:         newHosts(),
		replicas:      newReplicas(),
		claims:        newClaims(),
		strikes:       newStrikes(),
		leases:        newLeases(),
		results:       newResults(),
		audit:         newAudit(),
	}
}

// Revision is the revision of the followed view. It grows by one with each
// command that changes the view.
func (s *State) Revision() uint64 { return s.revision }

// ConfigurationRevision is the revision of the questionnaire in force, 0 before the first.
func (s *State) ConfigurationRevision() uint64 { return s.configuration.revision }

// Configuration is derived from the questionnaire in force; nil before the first.
func (s *State) Configuration() *config.Configuration { return s.configuration.derived }

// Questionnaire is the text in force.
func (s *State) Questionnaire() []byte { return s.configuration.text }

// ConfigurationAt returns which configuration a holder of a view revision follows.
func (s *State) ConfigurationAt(revision uint64) uint64 {
	if revision >= s.configuration.stateRevision {
		return s.configuration.revision
	}
	best := uint64(0)
	for _, id := range s.configuration.order {
		sub := s.configuration.submissions[id]
		if sub.Kind == "" && sub.StateRevision <= revision {
			best = max(best, sub.Revision)
		}
	}
	return best
}

// Deployment is the platform's configuration in force; nil before the first.
func (s *State) Deployment() *coordpb.Deployment { return s.deployment.InForce() }

// DeploymentSource is the document that the deployment in force was made from.
func (s *State) DeploymentSource() deployment.Source { return s.deployment.Source() }

// Keys returns all keys in order of their id.
func (s *State) Keys() []*coordpb.Key { return list(s.keys.rows) }

// Hosts returns all hosts in order of their name.
func (s *State) Hosts() []*coordpb.Host { return list(s.hosts.rows) }

// Host returns one role's row of a host, nil if it is not known.
func (s *State) Host(name, role string) *coordpb.Host { return s.hosts.rows[HostID(name, role)] }

// Replicas returns all replica decisions in order of model and target.
func (s *State) Replicas() []*coordpb.Replica { return list(s.replicas.rows) }

// Claim returns a claim, nil if there is none.
func (s *State) Claim(workspace, key string) *coordpb.Claim {
	return s.claims.rows[claimID(workspace, key)]
}

// Lease returns a lease, nil if it was never acquired.
func (s *State) Lease(name string) *coordpb.Lease { return s.leases.rows[name] }

// Audit returns up to limit records with a higher sequence than after, oldest first.
func (s *State) Audit(after uint64, limit int) []*coordpb.AuditRecord {
	var out []*coordpb.AuditRecord
	for _, r := range s.audit.records {
		if r.Sequence > after && len(out) < limit {
			out = append(out, r)
		}
	}
	return out
}

func list[R proto.Message](rows map[string]R) []R {
	out := make([]R, 0, len(rows))
	for _, id := range sorted(rows) {
		out = append(out, rows[id])
	}
	return out
}

// refusal turns an error into a result.
func refusal(err error) *coordpb.Result {
	f := fault.From(err)
	return &coordpb.Result{Kind: string(f.Kind), Message: f.Message}
}

// Err returns the fault that a result tells of, nil for success.
func Err(r *coordpb.Result) error {
	if r.GetKind() == "" {
		return nil
	}
	return fault.New(fault.Kind(r.Kind), "%s", r.Message)
}
