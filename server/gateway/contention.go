package gateway

// contended reports whether the callers of a service compete for the room of its targets, so that its
// calls are placed and queued by their work and rank: the settings say so, or the service's targets
// announce their speed. The caller holds mu.
func (t *targets) contended(service string) bool {
	return t.config.Contended || t.speedsKnown(service)
}
