// Package residency decides which models and adapters one target holds: what it loads next,
// what it unloads to make room, and when a request that waits for a model is told to retry
// later. It also limits loads from the weight store over the whole fleet.
//
// Load pattern: requests for many rarely used models, of which a target holds few at once.
// Without it: requests for models that no target holds are never served, or each of them
// evicts a model that others use.
// Rule: load what has the highest value per second of load time; evict only what has a lower value.
// Copies that the leader's plan (package copies) lacks come first.
//
// A load from the weight store takes seconds, one from the target's own disk or memory well
// under a second, one of an adapter milliseconds. A target carries out one load or unload of
// a model at a time.
//
// Only one agent gives orders to a target. Each order names how many orders the target must
// have accepted before it (its sequence). An order whose answer was lost and that arrives
// seconds later is therefore refused once another order was accepted.
//
// The types are plain data without locks and without a clock: callers serialize all calls
// and pass the current time.
package residency
