// Package discovery finds the control processes from the seeds of the settings.
package discovery
