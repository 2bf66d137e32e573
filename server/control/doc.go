// Package control wires the control role: the twirp service for entry hosts and
// agents, and the operators' API, on top of the replicated state.
//
// Any control process takes any call. Commands go through the leader's log
// (propose.go); views are answered by every process, but only behind a recent
// barrier (reads.go), so that one that is cut off stops granting leases before
// what it tells can be old. What only the leader does (the owner of workspace
// buckets, placement, expiry) runs in leader.go while this process leads.
//
// Lock order: Machine.mu, Role.mu, Role.closing, reads.mu and the mutexes of the owner and the
// planner guard separate things and are never held together: each method copies
// out what it needs and lets go.
package control
