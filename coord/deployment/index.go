package deployment

import (
	"cmp"
	"crypto/sha256"
	"hash/fnv"
	"slices"
	"strings"
	"time"

	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/warmup"
	"cowsliptiller/coord/workspace"
)

// Digest is the SHA-256 of a caller's key.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a key. Deployments hold digests, never keys.
func DigestOf(key string) Digest { return sha256.Sum256([]byte(key)) }

// Index provides the lookups that a request needs in one deployment. It is immutable.
type Index struct {
	Version    uint64
	Limits     *coordpb.CallerLimits
	routes     map[string][]*coordpb.DeploymentRoute // by host, longest prefix first
	services   map[string]*Service
	byKey      map[Digest]*coordpb.DeploymentWorkspace
	pauses     map[string]time.Duration // see TightestPause
	workspaces []*coordpb.DeploymentWorkspace
}

// Service is a service with its models by name.
type Service struct {
	*coordpb.DeploymentService
	Models map[string]*coordpb.DeploymentModel
}

// RunsModels reports whether the service's targets hold models.
func (s *Service) RunsModels() bool { return s.Engine != nil && len(s.Models) > 0 }

// LongestReservation returns for how long the service's targets reserve a place at most; 0: they reserve none.
func (s *Service) LongestReservation() time.Duration {
	return time.Duration(s.GetEngine().GetLongestReservationMs()) * time.Millisecond
}

// WarmUp returns what a target of the service bears after its start.
func (s *Service) WarmUp() warmup.Limit { return WarmUpLimit(s.DeploymentService) }

// WarmUpLimit returns what a target of a service bears after its start.
func WarmUpLimit(s *coordpb.DeploymentService) warmup.Limit {
	return warmup.Limit{Duration: time.Duration(s.GetWarmUpS() * float64(time.Second)), PerSecond: s.GetWarmUpPerS()}
}

// NewIndex indexes a deployment that has passed Check.
func NewIndex(d *coordpb.Deployment) *Index {
	x := &Index{
		Version: d.Version, Limits: d.Limits,
		routes:     map[string][]*coordpb.DeploymentRoute{},
		services:   map[string]*Service{},
		byKey:      map[Digest]*coordpb.DeploymentWorkspace{},
		pauses:     map[string]time.Duration{},
		workspaces: d.Workspaces,
	}
	if x.Limits == nil {
		x.Limits = &coordpb.CallerLimits{}
	}
	for _, r := range d.Routes {
		host := strings.ToLower(r.Host)
		x.routes[host] = append(x.routes[host], r)
		x.indexPause(r)
	}
	for _, list := range x.routes {
		slices.SortStableFunc(list, func(a, b *coordpb.DeploymentRoute) int {
			return cmp.Compare(len(b.Prefix), len(a.Prefix))
		})
	}
	for _, s := range d.Services {
		x.services[s.Name] = indexService(s)
	}
	for _, w := range d.Workspaces {
		for _, digest := range w.KeyDigests {
			x.byKey[Digest(digest)] = w
		}
	}
	return x
}

func (x *Index) indexPause(r *coordpb.DeploymentRoute) {
	pause := time.Duration(r.PauseMs) * time.Millisecond
	if !r.Streaming || pause <= 0 {
		return
	}
	for _, s := range r.Services {
		if known := x.pauses[s.Service]; known == 0 || pause < known {
			x.pauses[s.Service] = pause
		}
	}
}

// TightestPause returns the shortest of the longest pauses between two events that a service's streaming routes
// allow; 0 if none names one.
func (x *Index) TightestPause(service string) time.Duration { return x.pauses[service] }

func indexService(s *coordpb.DeploymentService) *Service {
	out := &Service{DeploymentService: s, Models: map[string]*coordpb.DeploymentModel{}}
	for _, m := range s.GetEngine().GetModels() {
		out.Models[m.Name] = m
	}
	return out
}

// Route returns the route with the longest prefix of the path on a host, nil if
// there is none. The path is compared byte for byte, as it was sent.
func (x *Index) Route(host, path string) *coordpb.DeploymentRoute {
	for _, r := range x.routes[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns a service by name, nil if there is none.
func (x *Index) Service(name string) *Service { return x.services[name] }

// WorkspaceFor returns the workspace that a key belongs to, nil if there is none.
func (x *Index) WorkspaceFor(key string) *coordpb.DeploymentWorkspace { return x.byKey[DigestOf(key)] }

// WorkspaceNamed returns a workspace by name, nil if there is none.
func (x *Index) WorkspaceNamed(name string) *coordpb.DeploymentWorkspace {
	for _, w := range x.workspaces {
		if w.Name == name {
			return w
		}
	}
	return nil
}

// NeedsKey reports whether calls on a route must carry a key: the deployment has
// workspaces, and the route is not anonymous.
func (x *Index) NeedsKey(r *coordpb.DeploymentRoute) bool {
	return len(x.workspaces) > 0 && !r.Anonymous
}

// ServiceFor selects the service of a request by weight. It hashes the request id, so
// that every host selects the same service for a request.
func ServiceFor(r *coordpb.DeploymentRoute, requestID string) string {
	if len(r.Services) == 1 {
		return r.Services[0].Service
	}
	sum := 0.0
	for _, w := range r.Services {
		sum += w.Weight
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(requestID))
	position := float64(mixBits(h.Sum64())>>11) / (1 << 53) * sum
	last := ""
	for _, w := range r.Services {
		if w.Weight <= 0 {
			continue
		}
		last = w.Service
		if position < w.Weight {
			return w.Service
		}
		position -= w.Weight
	}
	return last
}

// mixBits is the 64-bit finalizer of MurmurHash3: the high bits of the FNV hashes of
// short ids differ too little.
func mixBits(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// WorkspaceLimits returns the rate limits of a deployment's workspaces by name. A workspace with
// a rate of 0 has no limit and is left out.
func WorkspaceLimits(d *coordpb.Deployment) map[string]workspace.Limit {
	limits := map[string]workspace.Limit{}
	for _, w := range d.GetWorkspaces() {
		if w.Rate > 0 {
			limits[w.Name] = workspace.Limit{Rate: w.Rate, Burst: max(w.Burst, 1)}
		}
	}
	return limits
}

// How long a caller waits for the next event of a stream before it gives up is the
// largest of these three, as specified by the platform's callers.
const (
	minEventTimeout  = 2 * time.Second
	timeoutLatencies = 4 // multiple of the route's latency
	timeoutPauses    = 8 // multiple of the route's longest pause between events
)

// EventTimeout returns how long a caller of a streaming route waits for the next event.
// A request whose answer cannot begin within that time is rejected at once with a
// retry delay.
func EventTimeout(r *coordpb.DeploymentRoute) time.Duration {
	return max(minEventTimeout,
		timeoutLatencies*time.Duration(r.LatencyMs)*time.Millisecond,
		timeoutPauses*time.Duration(r.PauseMs)*time.Millisecond)
}
