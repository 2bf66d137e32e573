package events

import (
	"time"

	"cowsliptiller/coord/targetstatus"
)

// OrderGiven logs a load or unload order to a target, its outcome, and how many orders
// wait.
func (l *Log) OrderGiven(target string, load bool, model, adapter string, sequence uint64, outcome string, waiting int) {
	l.emit("order_given", "target", target, "load", load, "model", model, "adapter", adapter, "sequence", sequence,
		"outcome", outcome, "waiting", waiting)
}

// DeploymentFollowed logs that this process switched to a newer deployment.
func (l *Log) DeploymentFollowed(version, revision uint64) {
	l.emit("deployment_followed", "version", version, "revision", revision)
}

// TargetChanged logs a change of a target that affects routing. age is the age of the
// target list that reported it.
func (l *Log) TargetChanged(s *targetstatus.Status, gone bool, age time.Duration) {
	l.emit("target_changed", "target", s.Instance, "service", s.Service, "address", s.Address, "draining", s.Draining,
		"software_version", s.SoftwareVersion, "gone", gone, "list_age_ms", age.Milliseconds())
}

// TargetLimitChanged logs that a target announces another rate limit, or none any more.
func (l *Log) TargetLimitChanged(instance string, limited bool, perSecond float64) {
	l.emit("target_limit_changed", "target", instance, "limited", limited, "per_second", perSecond)
}

// TargetBackoff logs that a target requested a backoff of this host.
func (l *Log) TargetBackoff(instance string, backoff time.Duration) {
	l.emit("target_backoff", "target", instance, "backoff_ms", backoff.Milliseconds())
}

// TargetLeaving logs that a target says in an answer to this host that it leaves.
func (l *Log) TargetLeaving(instance string) {
	l.emit("target_leaving", "target", instance)
}

// TargetUnreachable logs that a target's host does not respond, and how many attempts there may be
// moved.
func (l *Log) TargetUnreachable(instance string, attempts int) {
	l.emit("target_unreachable", "target", instance, "attempts", attempts)
}

// TargetReachable logs that an unreachable target has responded to this host.
func (l *Log) TargetReachable(instance string) {
	l.emit("target_reachable", "target", instance)
}

// DependencyLost logs that a dependency of this process does not respond.
func (l *Log) DependencyLost(name string, err error) {
	l.logger.Warn("dependency_lost", "dependency", name, "error", err)
}

// DependencyRegained logs that a dependency responds again, and after how long.
func (l *Log) DependencyRegained(name string, after time.Duration) {
	l.logger.Info("dependency_regained", "dependency", name, "after_ms", after.Milliseconds())
}

// Started logs the start of a process. It is the first line of the process.
func (l *Log) Started(host, failureDomain string, firstStart bool, roles, seeds []string) {
	l.logger.Info("started", "host", host, "failure_domain", failureDomain, "first_start", firstStart, "roles", roles, "seeds", seeds)
}

// SettingsReloaded logs a reload of the settings: its cause, the seeds before it, the seeds in
// use after it, and the error if it failed.
func (l *Log) SettingsReloaded(cause string, before, seeds []string, err error) {
	l.logger.Info("settings_reloaded", "cause", cause, "seeds_before", before, "seeds", seeds, "error", err)
}

// ControlNotFound logs that no seed returned the addresses of the control hosts: how
// many seeds responded, and for how long the addresses have been unknown.
func (l *Log) ControlNotFound(seeds []string, answered int, since time.Duration) {
	l.logger.Warn("control_not_found", "seeds", seeds, "seeds_answered", answered, "since_ms", since.Milliseconds())
}

// ControlFound logs the addresses of the control hosts after they were unknown, and for
// how long they were.
func (l *Log) ControlFound(addresses []string, after time.Duration) {
	l.logger.Info("control_found", "control", addresses, "after_ms", after.Milliseconds())
}

// DeploymentOffered logs the result of an operator's configuration change at this host.
func (l *Log) DeploymentOffered(version uint64, bytes int, took time.Duration, err error) {
	l.emit("deployment_offered", "version", version, "bytes", bytes, "took_ms", took.Milliseconds(), "error", err)
}

// EvacuationRequested logs the result of an operator's request at this host to take a failure
// domain's targets out of service, or to put them back, and the state revision that has it.
func (l *Log) EvacuationRequested(domain string, evacuated bool, revision uint64, took time.Duration, err error) {
	l.emit("evacuation_requested", "failure_domain", domain, "evacuated", evacuated, "revision", revision, "took_ms", took.Milliseconds(), "error", err)
}

// EvacuationFollowed logs that an evacuation, or its end, is in force at this process.
func (l *Log) EvacuationFollowed(domain string, evacuated bool, revision uint64) {
	l.emit("evacuation_followed", "failure_domain", domain, "evacuated", evacuated, "revision", revision)
}

// DeploymentRead logs the result of an operator's configuration read at this host.
func (l *Log) DeploymentRead(bytes int, took time.Duration, err error) {
	l.emit("deployment_read", "bytes", bytes, "took_ms", took.Milliseconds(), "error", err)
}

// Stopping logs that a process was asked to stop, and the time limit for it.
func (l *Log) Stopping(limit time.Duration) {
	l.logger.Info("stopping", "at_most_ms", limit.Milliseconds())
}

// Stopped logs the end of a process. err is the cause if it was not asked to stop. It is
// the last line of the process.
func (l *Log) Stopped(err error) { l.logger.Info("stopped", "error", err) }
