package deployment

import (
	"google.golang.org/protobuf/proto"

	"cowsliptiller/coord/coordpb"
)

// Source is a deployment's document as received, compressed with gzip if Gzipped is set.
type Source struct {
	Bytes   []byte
	Gzipped bool
}

// Register holds the deployment in force and the document that it was made from.
type Register struct {
	current *coordpb.Deployment // nil before the first
	source  Source
	since   uint64 // state revision at which current came in force
}

// Adopt puts a deployment in force if its version is above the current one, and
// reports whether it did. Another document under the current version changes nothing:
// it is neither applied nor stored.
func (r *Register) Adopt(m *coordpb.AdoptDeployment, revision uint64) bool {
	if m.GetDeployment().GetVersion() <= r.Version() {
		return false
	}
	keepLongestTimeouts(m.Deployment, r.current)
	r.current, r.source, r.since = m.Deployment, Source{Bytes: m.Source, Gzipped: m.SourcePacked}, revision
	return true
}

// place identifies a route across deployments.
type place struct{ host, prefix string }

// keepLongestTimeouts sets LongestTimeoutMs of the next deployment's routes. A stream that began under a longer
// time limit may be resumed after the limit was shortened.
func keepLongestTimeouts(next, before *coordpb.Deployment) {
	longest := make(map[place]int64, len(before.GetRoutes()))
	for _, route := range before.GetRoutes() {
		longest[place{route.Host, route.Prefix}] = route.LongestTimeoutMs
	}
	for _, route := range next.GetRoutes() {
		route.LongestTimeoutMs = max(route.TimeoutMs, longest[place{route.Host, route.Prefix}])
	}
}

// Version returns the version in force, 0 before the first.
func (r *Register) Version() uint64 { return r.current.GetVersion() }

// InForce returns the deployment in force, nil before the first. It must not be modified.
func (r *Register) InForce() *coordpb.Deployment { return r.current }

// Source returns the document that the deployment in force was made from.
func (r *Register) Source() Source { return r.source }

// ChangedSince returns the deployment if it came in force after a state revision,
// nil otherwise.
func (r *Register) ChangedSince(revision uint64) *coordpb.Deployment {
	if r.since > revision {
		return r.current
	}
	return nil
}

// Export writes the register into a snapshot.
func (r *Register) Export(m *coordpb.StateSnapshot) {
	if r.current == nil {
		return
	}
	m.Deployment = proto.Clone(r.current).(*coordpb.Deployment)
	m.DeploymentSource, m.DeploymentSourcePacked, m.DeploymentStateRevision = r.source.Bytes, r.source.Gzipped, r.since
}

// Import restores a register from a snapshot.
func Import(m *coordpb.StateSnapshot) Register {
	source := Source{Bytes: m.DeploymentSource, Gzipped: m.DeploymentSourcePacked}
	return Register{current: m.Deployment, source: source, since: m.DeploymentStateRevision}
}
