// Package copies plans how many copies of each model a fleet needs, from the work that callers offer.
//
// Load pattern: within seconds, demand moves to models that one or two targets hold.
// Without it: a copy is added only once all copies are saturated, so that the queue exceeds the callers' deadlines
// before the first of several copies is loaded.
// Rule: the leader sums the offered work by model, refused requests included, and plans enough copies to serve it
// below saturation. The plan grows at once and shrinks after a delay.
//
// The types are plain data without locks and without a clock: callers serialize all calls and pass the current time.
package copies
