// Package placement decides which target holds which model: the load schedule for
// cold starts, eviction, loading ahead, and unloading of idle replicas.
//
// The control leader owns one Planner and calls it from one goroutine, or under
// one lock of its own: the package holds no lock. Events go in through Configure,
// SetTargets, SetReplicas, ObserveReport and ObserveDemand; Plan returns the
// decisions to propose to the replicated log, and Forecast says when a model can
// be ready. A decision counts from the moment Plan returned it, so that a round
// that runs before the log has committed does not decide it twice.
//
// Adapters are no matter of this package: they load in milliseconds, so agents
// load them on demand.
package placement
