// Package daemon puts the roles of one cowslipd process together from its
// settings, and runs them until the process is told to stop.
package daemon
