// Package routing chooses the target for each attempt of a request from a possibly
// stale view of the replicas.
//
// Each entry host owns one Router and calls it from one goroutine or under its own
// lock: the package does no locking. SetView installs the replicas confirmed by
// control, Pick chooses a target, Started and Finished track the host's own requests
// in flight, Reported records the load returned with a reply, Refused corrects the
// view after an agent's refusal, SetUnreachable excludes targets, and SetBackoff and
// SetLeaving record what targets announce.
package routing
