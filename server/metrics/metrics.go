package metrics

import "github.com/prometheus/client_golang/prometheus"

// requestBuckets reach from a plain call on one host to the longest deadline
// that a caller can give, one hour.
var requestBuckets = []float64{.001, .002, .005, .01, .02, .05, .1, .2, .5, 1, 2, 5, 10, 30, 60, 300, 1800, 3600}

// loadBuckets reach from an adapter to a large model out of a slow store.
var loadBuckets = []float64{.01, .1, .5, 1, 2, 5, 10, 20, 40, 80, 160, 320, 640}

func register(registry prometheus.Registerer, collectors ...prometheus.Collector) {
	if registry == nil {
		return
	}
	registry.MustRegister(collectors...)
}
