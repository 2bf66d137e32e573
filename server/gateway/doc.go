// Package gateway is the entry role on the platform: it accepts callers' requests and
// sends exactly one final answer to each.
//
// call.go authenticates and routes a request; run.go runs it, retrying at other
// targets; targets.go holds the target table and selects a target; models.go has a
// model loaded that no target holds; relay.go forwards the answer and resumes a broken
// stream at another target; refuse.go answers requests that were not served;
// notice.go keeps the backoffs that targets request; crash.go, quarantine.go and crashreport.go
// refuse requests that end their targets; retries.go takes retries from the fleet's budget;
// resume.go limits a resumed stream to the software version that began it, which origins.go
// shares with other entry hosts; listener.go and connections.go manage the
// callers' connections; outage.go waits for a missing deployment or target table.
//
// Lock order: Gateway.mu, targets.mu, origins.mu, quarantine.mu, connections.mu and those of the packages it
// calls are leaves: no other lock is taken under one.
package gateway
