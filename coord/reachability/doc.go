// Package reachability decides whether the hosts of targets respond, from what calls receive from
// them and from probes.
//
// An entry host owns one Detector and calls it under its own lock: the package does no locking
// and has no timers.
package reachability
