// Package process implements what all roles of a cowslipd process share: listeners,
// request authentication between processes, health and metrics endpoints, startup and
// graceful shutdown.
package process
