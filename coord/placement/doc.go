// Package placement decides which model is loaded on which target: it schedules
// cold-start loads, evicts and preloads models, scales replicas, and unloads idle ones.
//
// The control leader owns one Planner. The package takes no lock, so the caller must
// serialize all calls. Configure, SetTargets, SetReplicas, ObserveReport and
// ObserveDemand update the planner's input; Plan returns the decisions to propose to
// the replicated log; Forecast returns when a model can be ready. A decision takes
// effect in the planner as soon as Plan returns it, so that a round that runs before
// the log has committed it does not make it again.
//
// Adapters are not placed here: they load in milliseconds, and agents load them on
// demand.
package placement
