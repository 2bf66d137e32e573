// Package warmup paces the requests to targets that have just started and are slow.
//
// Load pattern: targets start or return to service together while many entry hosts hold
// requests for them, and to each host such a target looks idle.
// Without it: 27 hosts sent 41 requests within a second to a target that bears 19 while it
// warms up. It crashed, and was slow again after its restart.
// Rule: one owner for each target, its agent or else the control leader, hands out evenly
// spaced send times; a request that is not sent at its time needs a new one.
//
// The bound holds over all hosts, also for those that are partitioned or suspended: a send
// time lies at most MaxAhead after it was handed out, and a request is sent within
// MaxSendDelay of it. A new owner hands out nothing for its first MaxAhead, in which its
// predecessor's send times pass. In any second a target gets at most
// PerSecond * (1 s + MaxSendDelay) + 2 requests.
//
// The types have no lock and no clock: callers serialize all calls and pass the time.
package warmup
