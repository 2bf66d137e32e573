package deployment

import (
	"strings"

	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/fault"
)

// Check validates a deployment and returns fault.InvalidRequest with the first problem
// found. It must be called before a deployment is committed: a committed deployment is
// not checked again.
func Check(d *coordpb.Deployment) error {
	if d.GetVersion() == 0 {
		return invalidf("version must be above 0")
	}
	services, err := checkServices(d.Services)
	if err != nil {
		return err
	}
	routeAt := map[string]string{} // route name by host and prefix
	for _, r := range d.Routes {
		if err := checkRoute(r, services); err != nil {
			return err
		}
		key := strings.ToLower(r.Host) + " " + r.Prefix
		if other, taken := routeAt[key]; taken {
			return invalidf("routes %q and %q share host %q and prefix %q", other, r.Name, r.Host, r.Prefix)
		}
		routeAt[key] = r.Name
	}
	return checkWorkspaces(d.Workspaces)
}

func invalidf(format string, args ...any) error {
	return fault.New(fault.InvalidRequest, format, args...)
}

func checkServices(list []*coordpb.DeploymentService) (map[string]bool, error) {
	known := map[string]bool{}
	for _, s := range list {
		if s.Name == "" {
			return nil, invalidf("a service has no name")
		}
		if known[s.Name] {
			return nil, invalidf("service %q is listed twice", s.Name)
		}
		if s.WarmUpS < 0 || s.WarmUpPerS < 0 {
			return nil, invalidf("service %q: duration and rate of the warm-up must not be below 0", s.Name)
		}
		known[s.Name] = true
	}
	return known, nil
}

func checkRoute(r *coordpb.DeploymentRoute, services map[string]bool) error {
	if r.Host == "" {
		return invalidf("route %q has no host", r.Name)
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return invalidf("route %q: prefix %q must begin and end with a slash", r.Name, r.Prefix)
	}
	if r.TimeoutMs <= 0 {
		return invalidf("route %q: timeout must be above 0 ms", r.Name)
	}
	sum := 0.0
	for _, w := range r.Services {
		if !services[w.Service] {
			return invalidf("route %q refers to unknown service %q", r.Name, w.Service)
		}
		if w.Weight < 0 {
			return invalidf("route %q: weight of service %q must not be below 0", r.Name, w.Service)
		}
		sum += w.Weight
	}
	if sum <= 0 {
		return invalidf("route %q: service weights add up to 0, must be above 0", r.Name)
	}
	return nil
}

func checkWorkspaces(list []*coordpb.DeploymentWorkspace) error {
	owners := map[string]string{} // workspace name by key digest
	names := map[string]bool{}
	for _, w := range list {
		if w.Name == "" {
			return invalidf("a workspace has no name")
		}
		if names[w.Name] {
			return invalidf("workspace %q is listed twice", w.Name)
		}
		names[w.Name] = true
		if w.Rate < 0 || w.Burst < 0 {
			return invalidf("workspace %q: rate and burst must not be below 0", w.Name)
		}
		for _, digest := range w.KeyDigests {
			if other, taken := owners[string(digest)]; taken && other != w.Name {
				return invalidf("workspaces %q and %q share a key", other, w.Name)
			}
			owners[string(digest)] = w.Name
		}
	}
	return nil
}
