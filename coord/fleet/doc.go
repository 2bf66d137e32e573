// Package fleet is the aggregate of hosts: incarnations, freshness leases, and
// hosts that leave.
package fleet
