package board

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// listReads holds the results of reading the platform's list.
type listReads struct {
	lost    bool // the last read failed
	failed  int  // reads that failed
	skipped int  // entries that describe no target, in the last list that was read
}

// readList reads the platform's list. The table keeps what it has until the list can be read.
func (b *Board) readList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	asked := b.config.Now()
	list, skipped, err := b.config.List(ctx)
	b.noteList(err, skipped)
	if err != nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.table != nil {
		b.change(func() { b.table.SetList(list, asked) })
		b.sendTimes.Retain(b.table.Has)
		b.observeVersions(b.config.Now())
	}
}

// noteList counts a read, and logs the first failure, the first success after failures, and a change of the
// number of entries that describe no target.
func (b *Board) noteList(err error, skipped int) {
	b.mu.Lock()
	before := b.listReads
	b.listReads.lost = err != nil
	if err != nil {
		b.listReads.failed++
	} else {
		b.listReads.skipped = skipped
	}
	b.mu.Unlock()
	switch {
	case err != nil && !before.lost:
		b.config.Log.Warn("dependency_lost", "dependency", "target_list", "error", err)
	case err == nil && before.lost:
		b.config.Log.Info("dependency_regained", "dependency", "target_list")
	}
	if err == nil && skipped != before.skipped {
		b.config.Log.Warn("list_entries_skipped", "entries", skipped, "before", before.skipped)
	}
}

// Metrics of the platform's list.
var (
	listAgeDesc = prometheus.NewDesc("cowslip_board_list_age_seconds",
		"Time since the platform's list was last read; absent before the first read of a term.", nil, nil)
	listFailedDesc = prometheus.NewDesc("cowslip_board_list_reads_failed_total",
		"Reads of the platform's list that failed.", nil, nil)
	listSkippedDesc = prometheus.NewDesc("cowslip_board_list_skipped_entries",
		"Entries of the platform's list that name no target, in the last list that was read.", nil, nil)
)

// ListCollector exports the age of a board's copy of the platform's list and the results of reading it.
type ListCollector struct{ Board *Board }

// Describe implements prometheus.Collector.
func (c ListCollector) Describe(out chan<- *prometheus.Desc) {
	out <- listAgeDesc
	out <- listFailedDesc
	out <- listSkippedDesc
}

// Collect implements prometheus.Collector. Only the leader has figures.
func (c ListCollector) Collect(out chan<- prometheus.Metric) {
	b := c.Board
	if _, leading := b.config.Leading(); !leading {
		return
	}
	b.mu.Lock()
	reads, listed := b.listReads, time.Time{}
	if b.table != nil {
		listed = b.table.ListedAt()
	}
	b.mu.Unlock()
	out <- prometheus.MustNewConstMetric(listFailedDesc, prometheus.CounterValue, float64(reads.failed))
	out <- prometheus.MustNewConstMetric(listSkippedDesc, prometheus.GaugeValue, float64(reads.skipped))
	if !listed.IsZero() {
		out <- prometheus.MustNewConstMetric(listAgeDesc, prometheus.GaugeValue, b.config.Now().Sub(listed).Seconds())
	}
}
