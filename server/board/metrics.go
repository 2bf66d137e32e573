package board

import "github.com/prometheus/client_golang/prometheus"

// Describe implements prometheus.Collector.
func (b *Board) Describe(out chan<- *prometheus.Desc) {
	out <- speedDesc
	out <- copiesDesc
}

// Collect implements prometheus.Collector. Only the leader has figures.
func (b *Board) Collect(out chan<- prometheus.Metric) {
	if _, leading := b.config.Leading(); !leading {
		return
	}
	b.collectSpeeds(out)
	b.collectCopies(out)
}
