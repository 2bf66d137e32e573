// Package routing chooses the target for one attempt from a view that lags.
//
// Each entry host owns one Router and calls it from one goroutine, or under one
// lock of its own: the package holds no lock. SetView brings the replicas that
// control has confirmed; Pick chooses, Started and Finished keep the host's own
// requests in flight, Reported brings the load that came back with a reply, and
// Refused corrects the view from an agent's refusal.
package routing
