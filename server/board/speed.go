package board

import (
	"slices"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"cowsliptiller/coord/targetspeed"
	"cowsliptiller/server/rpc"
)

// takeSpeeds records the speeds that targets announced to an entry host. Those of targets that the
// table does not have yet are left out: a new leader knows them a poll later. The caller holds mu.
func (b *Board) takeSpeeds(list []*rpc.SpeedSample) {
	samples := slices.DeleteFunc(SpeedsFromRPC(list), func(s targetspeed.Sample) bool { return !b.table.Has(s.Instance) })
	b.publishSpeeds(b.speeds.Add(samples, b.config.Now()))
}

// expireSpeeds drops the speeds of targets that are gone or have not announced any for long.
func (b *Board) expireSpeeds() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.publishSpeeds(b.speeds.Expire(b.table.Has, b.config.Now()))
}

// publishSpeeds puts changed speeds into the table. The caller holds mu.
func (b *Board) publishSpeeds(changes []targetspeed.Change) {
	if len(changes) == 0 {
		return
	}
	b.change(func() {
		for _, c := range changes {
			b.table.SetSpeed(c.Instance, c.Percent)
			b.logSpeed(c)
		}
	})
}

// loggedSpeed is what the log has of a target's published speed.
type loggedSpeed struct {
	percent int
	at      time.Time
}

// speedLogInterval bounds the log lines of a target: bursts change the published speed of a target
// about once in 8 s.
const speedLogInterval = 30 * time.Second

// logSpeed logs a published speed, at most once in speedLogInterval by target. The caller holds mu.
func (b *Board) logSpeed(c targetspeed.Change) {
	now, last := b.config.Now(), b.speedLog[c.Instance]
	if now.Sub(last.at) < speedLogInterval && c.Percent > 0 {
		return
	}
	b.config.Log.Info("target_speed_changed", "target", c.Instance, "percent", c.Percent, "before", last.percent)
	b.speedLog[c.Instance] = loggedSpeed{c.Percent, now}
	if c.Percent == 0 {
		delete(b.speedLog, c.Instance)
	}
}

var speedDesc = prometheus.NewDesc("cowslip_board_target_speed_percent",
	"Lasting processing time of a target in percent of the usual one, as the leader publishes it; absent: not known.",
	[]string{"target"}, nil)

// collectSpeeds sends the published speeds of the targets in the table.
func (b *Board) collectSpeeds(out chan<- prometheus.Metric) {
	for instance, percent := range b.publishedSpeeds() {
		out <- prometheus.MustNewConstMetric(speedDesc, prometheus.GaugeValue, float64(percent), instance)
	}
}

func (b *Board) publishedSpeeds() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.table == nil {
		return nil
	}
	return b.speeds.Published()
}
