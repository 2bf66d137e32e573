package fault

import (
	"fmt"
	"strings"
)

// meanings describes each kind for the table in docs/operators/errors.md.
var meanings = map[Kind]string{
	InvalidRequest:  "malformed or contradictory input",
	TooLarge:        "header, body or answer over its limit",
	Unauthenticated: "key missing, unknown or withdrawn",
	NotFound:        "no such model, service or resource",
	Stale:           "freshness lease lapsed: the view may be old",
	RateLimited:     "over the workspace's rate and burst",
	Overloaded:      "the wait would pass the deadline, or a queue is full",
	NoCapacity:      "no target can hold the model in time",
	Quarantined:     "the request crashed its targets before",
	NotHere:         "the agent does not hold the replica",
	Leaving:         "the host takes no new work",
	Fenced:          "an order with an old fencing number",
	Expired:         "deadline passed before hand-over",
	Timeout:         "deadline passed after hand-over",
	TargetFailed:    "the target broke off; whether it ran is unknown",
	StreamBroken:    "the answer began and did not reach its end",
	AlreadyClaimed:  "the idempotency key is claimed, outcome not known",
	KeyReused:       "the idempotency key came with another request",
	Conflict:        "the named revision is not the current one",
	NoQuorum:        "control cannot commit at present",
	NotLeader:       "ask another control host",
	Canceled:        "the caller went away",
	Unavailable:     "the next process cannot be reached; not handed over",
	Internal:        "a fault of our own",
}

// Table returns the kinds and their answers as a Markdown table, in the order of Kinds.
func Table() string {
	var b strings.Builder
	b.WriteString("| kind | status | ran | repeatable | come back after | meaning |\n| --- | --- | --- | --- | --- | --- |\n")
	for _, k := range kinds {
		a := table[k]
		fmt.Fprintf(&b, "| `%s` | %d | %s | %s | %s | %s |\n", k, a.Status, a.Ran, yesNo(a.Repeatable), retryHint(a), meanings[k])
	}
	return b.String()
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

func retryHint(a Answer) string {
	if a.RetryAfter == 0 {
		return "-"
	}
	return a.RetryAfter.String() + " or as the answer says"
}
