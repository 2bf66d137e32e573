// Package metrics names what the processes measure.
package metrics
