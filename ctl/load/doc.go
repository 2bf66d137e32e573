// Package load sends seeded, open-loop traffic to entry hosts and reports what
// callers got. Arrivals do not wait for answers: a slow system meets the same
// load as a fast one, so that its queue shows in the figures.
package load
