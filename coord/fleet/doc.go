// Package fleet is the aggregate of the processes that follow the control state
// through one control process: which freshness leases it granted to them, and
// which revision each acknowledged last.
package fleet
