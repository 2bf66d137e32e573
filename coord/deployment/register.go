package deployment

import (
	"google.golang.org/protobuf/proto"

	"cowsliptiller/coord/coordpb"
)

// Source is a deployment's document as its writer sent it, or a gzip of it.
type Source struct {
	Bytes  []byte
	Packed bool
}

// Register holds the deployment in force and the document that it was made from.
type Register struct {
	inForce *coordpb.Deployment // nil before the first
	source  Source
	since   uint64 // state revision that brought it in force
}

// Adopt puts a deployment in force if its version is above the present one, and
// reports whether it did. Another document under the present version changes
// nothing: it is neither obeyed nor read back.
func (r *Register) Adopt(m *coordpb.AdoptDeployment, revision uint64) bool {
	if m.GetDeployment().GetVersion() <= r.Version() {
		return false
	}
	r.inForce, r.source, r.since = m.Deployment, Source{Bytes: m.Source, Packed: m.SourcePacked}, revision
	return true
}

// Version is the version in force, 0 before the first.
func (r *Register) Version() uint64 { return r.inForce.GetVersion() }

// InForce is the deployment in force, nil before the first. Nobody may change it.
func (r *Register) InForce() *coordpb.Deployment { return r.inForce }

// Source is the document that the deployment in force was made from.
func (r *Register) Source() Source { return r.source }

// ChangedSince returns the deployment if it came in force after a state revision,
// nil otherwise.
func (r *Register) ChangedSince(revision uint64) *coordpb.Deployment {
	if r.since > revision {
		return r.inForce
	}
	return nil
}

// Export writes the register into a snapshot.
func (r *Register) Export(m *coordpb.StateSnapshot) {
	if r.inForce == nil {
		return
	}
	m.Deployment = proto.Clone(r.inForce).(*coordpb.Deployment)
	m.DeploymentSource, m.DeploymentSourcePacked, m.DeploymentStateRevision = r.source.Bytes, r.source.Packed, r.since
}

// Import takes a register over from a snapshot.
func Import(m *coordpb.StateSnapshot) Register {
	source := Source{Bytes: m.DeploymentSource, Packed: m.DeploymentSourcePacked}
	return Register{inForce: m.Deployment, source: source, since: m.DeploymentStateRevision}
}
