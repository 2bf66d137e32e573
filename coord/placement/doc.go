// Package placement decides which target holds which model: the load schedule for
// cold starts, eviction, loading ahead, and unloading of idle replicas.
package placement
