// Package workspace implements distributed token-bucket rate limiting: it enforces the
// rate and burst of each workspace, in tokens, across the whole fleet.
//
// A single Owner, on the control leader, keeps the bucket of each workspace. A Holder on
// each entry host obtains small grants from it, charges requests against them and returns
// unused tokens. They exchange rpc.DrawRequest and rpc.DrawResponse, which correspond to
// Draw and Reply.
//
// Invariant: in any time window, the tokens charged on all hosts, less refunds, are at
// most rate x window + burst.
//
// Owner and Holder do no locking. Callers that share one between goroutines must guard it
// with one mutex, and must take no other lock while they hold that mutex.
package workspace
