// Package process is what every cowslipd process has whatever its roles: listeners,
// proof of identity between processes, health and metrics, start and shutdown.
package process
