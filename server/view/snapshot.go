package view

import (
	"time"

	"cowsliptiller/coord/config"
	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/deployment"
	"cowsliptiller/coord/request"
)

// Digest is the SHA-256 digest of a caller's key.
type Digest [32]byte

// Snapshot is the view at one revision. It is immutable once published.
type Snapshot struct {
	Revision      uint64
	Configuration *config.Configuration // nil before the first questionnaire
	Deployment    *coordpb.Deployment   // nil before the first deployment
	Routes        *deployment.Index     // index of Deployment; nil without one
	Keys          map[Digest]*coordpb.Key
	Hosts         map[string]*coordpb.Host       // by host name
	AgentByTarget map[string]*coordpb.Host       // by target name
	EntryHosts    map[string]*coordpb.Host       // rows of the entry role, by host name
	Replicas      map[string][]*coordpb.Replica  // by model, sorted by target name
	Strikes       map[string]*coordpb.Strikes    // by StrikeID
	Parts         request.PartRows               // parts of prompts with strikes
	Evacuations   map[string]*coordpb.Evacuation // by failure domain; those that ended are included

	rows rows
}

// StrikeID returns the key in Snapshot.Strikes for a request fingerprint in a workspace.
func StrikeID(workspace string, fingerprint []byte) string {
	return workspace + "/" + string(fingerprint)
}

// Evacuated reports whether a failure domain's targets are out of service.
func (s *Snapshot) Evacuated(domain string) bool { return s.Evacuations[domain].GetEvacuated() }

// TakesNoWork reports whether a host's target gets no new work: the host is leaving, or its
// failure domain is evacuated.
func (s *Snapshot) TakesNoWork(h *coordpb.Host) bool {
	return h.Leaving || s.Evacuated(h.FailureDomain)
}

// Source provides the newest snapshot and reports whether it may be used.
type Source interface {
	// Current returns the newest snapshot, nil before the first one.
	Current() *Snapshot
	// Fresh reports whether the freshness lease is valid at now, which must have a
	// monotonic clock reading.
	Fresh(now time.Time) bool
	// Changed returns a channel that is closed when Current is replaced.
	Changed() <-chan struct{}
}
