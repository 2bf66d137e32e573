// Package board serves rpc.Board on the control leader: the status of all targets, the demand
// for models over the fleet, permits for loads from the weight store, and send times of targets
// that warm up and have no agent.
//
// Its tables are in memory only. A new leader starts with an empty table, which is complete
// within a second, once the platform's list and the agents' reports have arrived.
package board
