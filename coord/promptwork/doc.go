// Package promptwork decides where a prompt is sent, and when, by the time that targets need to process
// prompts. It holds four decisions: what a prompt costs (Rates), which prompts of this host a target has not
// begun to answer (Ledger), what a request costs at a target (Cost), and how many prompt tokens are sent to
// a target at a time (Pacer). Meter is the measure of an agent that Cost uses.
//
// Load pattern: a target processes prompts in chunks, one per step, and each step emits one token of all its
// streams. Prompts differ in size by a factor of 100.
// Without it: requests are placed by their number. Long prompts that meet at one target delay its short ones,
// and each step of the long ones delays the events of all streams there, while its slots are free.
// Rule: place and pace requests by prompt tokens, at the speed of each target.
//
// The package is not safe for concurrent use; callers pass the current time as an argument.
package promptwork
