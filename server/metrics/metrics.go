package metrics

import "github.com/prometheus/client_golang/prometheus"

// requestBuckets, in seconds, range from a call to a service on one host to the longest
// deadline that a caller can set, one hour.
var requestBuckets = []float64{.001, .002, .005, .01, .02, .05, .1, .2, .5, 1, 2, 5, 10, 30, 60, 300, 1800, 3600}

// loadBuckets, in seconds, range from loading an adapter to loading a large model from a
// slow store.
var loadBuckets = []float64{.01, .1, .5, 1, 2, 5, 10, 20, 40, 80, 160, 320, 640}

// register registers the collectors; with a nil registry it does nothing.
func register(registry prometheus.Registerer, collectors ...prometheus.Collector) {
	if registry == nil {
		return
	}
	registry.MustRegister(collectors...)
}
