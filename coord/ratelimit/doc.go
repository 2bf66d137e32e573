// Package ratelimit keeps the rate limits that targets announce in their answers.
//
// Load pattern: a target in need announces how many requests a second it takes, while many entry
// hosts hold requests for it, and its short queue makes it look idle to each of them.
// Without it: 6 hosts sent 17 requests in 4 s to a target that took 1.6 a second, for as long as
// it announced that.
// Rule: one owner for each target hands out evenly spaced send times at the announced rate (see
// package warmup). Requests go to targets without a limit where there are any.
//
// Each host learns a limit from the answers that it receives, from the owner's replies, and from
// the target table. The newest observation is valid, whoever made it. A limit has no lifetime: it
// ends with an answer that announces none, and since a limited target still gets requests, such
// an answer arrives.
//
// The types have no lock and no clock: callers serialize all calls and pass the time.
package ratelimit
