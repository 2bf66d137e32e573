// Package framing decides whether a target's answer arrived completely.
//
// Load pattern: targets that break off answers, some of which have neither a length nor chunks.
// Without it: the end of the connection is taken for the end of the answer, and a caller
// receives a truncated stream that looks complete.
// Rule: a body is complete if its framing says so and, for a stream of events, if it does not
// end inside an event. A close-delimited body also needs a sender whose process is still running, even
// if the sender had announced its shutdown.
package framing
