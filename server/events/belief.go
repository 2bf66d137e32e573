package events

import "time"

// OrderGiven says what a target was ordered and what it said.
func (l *Log) OrderGiven(target string, load bool, model, adapter string, sequence uint64, outcome string, waiting int) {
	l.say("order_given", "target", target, "load", load, "model", model, "adapter", adapter, "sequence", sequence,
		"outcome", outcome, "waiting", waiting)
}

// DeploymentFollowed says that this process follows a newer deployment.
func (l *Log) DeploymentFollowed(version, revision uint64) {
	l.say("deployment_followed", "version", version, "revision", revision)
}

// TargetSeen says that a target's standing changed in a way that routing follows.
func (l *Log) TargetSeen(instance, service, address string, draining, gone bool, age time.Duration) {
	l.say("target_changed", "target", instance, "service", service, "address", address, "draining", draining,
		"gone", gone, "list_age_ms", age.Milliseconds())
}

// DependencyLost says that something this process needs does not answer.
func (l *Log) DependencyLost(name string, err error) {
	l.logger.Warn("dependency_lost", "dependency", name, "error", err)
}

// DependencyRegained says that it answers again.
func (l *Log) DependencyRegained(name string, after time.Duration) {
	l.logger.Info("dependency_regained", "dependency", name, "after_ms", after.Milliseconds())
}

// Started is the first line of a process.
func (l *Log) Started(host, failureDomain string, firstStart bool, roles, seeds []string) {
	l.logger.Info("started", "host", host, "failure_domain", failureDomain, "first_start", firstStart, "roles", roles, "seeds", seeds)
}

// Reloaded says that the settings were read again, and which seeds are used from now on.
func (l *Log) Reloaded(cause string, before, seeds []string, err error) {
	l.logger.Info("settings_reloaded", "cause", cause, "seeds_before", before, "seeds", seeds, "error", err)
}

// ControlNotFound says that no seed leads to control: how many seeds answered, and how
// long control has been unknown.
func (l *Log) ControlNotFound(seeds []string, answered int, since time.Duration) {
	l.logger.Warn("control_not_found", "seeds", seeds, "seeds_answered", answered, "since_ms", since.Milliseconds())
}

// ControlFound says that a process follows control after it did not know where it was.
func (l *Log) ControlFound(addresses []string, after time.Duration) {
	l.logger.Info("control_found", "control", addresses, "after_ms", after.Milliseconds())
}

// DeploymentOffered says how an operator's change ended at this host.
func (l *Log) DeploymentOffered(version uint64, bytes int, took time.Duration, err error) {
	l.say("deployment_offered", "version", version, "bytes", bytes, "took_ms", took.Milliseconds(), "error", err)
}

// DeploymentRead says how an operator's read ended at this host.
func (l *Log) DeploymentRead(bytes int, took time.Duration, err error) {
	l.say("deployment_read", "bytes", bytes, "took_ms", took.Milliseconds(), "error", err)
}

// Stopping says that a process was told to stop, and when it will have.
func (l *Log) Stopping(limit time.Duration) {
	l.logger.Info("stopping", "at_most_ms", limit.Milliseconds())
}

// Stopped is the last line of a process; err says why it ended by itself.
func (l *Log) Stopped(err error) { l.logger.Info("stopped", "error", err) }
