package deployment

import (
	"slices"

	"cowsliptiller/coord/coordpb"
)

// AllowedDomains returns the failure domains whose targets may run a call: those in a region that
// its route allows, and its workspace if both name regions. It is nil if neither does. regionOf
// gives the region of each domain; one whose region is not known is not allowed.
func AllowedDomains(r *coordpb.DeploymentRoute, w *coordpb.DeploymentWorkspace, regionOf map[string]string) map[string]bool {
	route, workspace := r.GetAllowedRegions(), w.GetAllowedRegions()
	if len(route) == 0 && len(workspace) == 0 {
		return nil
	}
	domains := map[string]bool{}
	for domain, region := range regionOf {
		if allows(route, region) && allows(workspace, region) {
			domains[domain] = true
		}
	}
	return domains
}

// allows reports whether a list of regions has a region; an empty list has all.
func allows(regions []string, region string) bool {
	return len(regions) == 0 || slices.Contains(regions, region)
}
