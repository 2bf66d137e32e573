package soak

import (
	"fmt"
	"hash/fnv"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"time"

	"cowsliptiller/platform"
)

// Uneven speeds of the targets, in percent of the usual processing time: two of five targets of a
// service with models are slow, plain targets have the usual speed, and all have bursts.
const (
	fastPercent   = 70
	slowPercent   = 170
	plainPercent  = 100
	burstSlowdown = 2.5
	// Each target is in a burst for burstLength of each burstPeriod, at another time than others.
	burstLength = 600 * time.Millisecond
	burstPeriod = 4 * time.Second
	// invalidLoads is of how many announcements one has invalid figures.
	invalidLoads = 50
)

// speedPercent is the target's processing time at now in percent of the usual one.
func (t *target) speedPercent(now time.Time) float64 {
	percent := t.usualPercent
	if (now.UnixMilli()+t.burstPhase())%burstPeriod.Milliseconds() < burstLength.Milliseconds() {
		percent *= burstSlowdown
	}
	return percent
}

func (t *target) burstPhase() int64 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(t.address))
	return int64(h.Sum32())
}

// percentOf is the speed of a target by its number.
func percentOf(i int, service string) float64 {
	switch {
	case service == "plain":
		return plainPercent
	case i%5 == 1 || i%5 == 3:
		return slowPercent
	}
	return fastPercent
}

// announceLoad sets the four figures of the target's load. Some announcements have invalid figures,
// which no caller may notice.
func (t *target) announceLoad(h http.Header) {
	n := t.announced.Add(1)
	text := fmt.Sprintf("%d,0,%d,%.0f", t.running.Load(), targetSlots, t.speedPercent(time.Now()))
	if n%invalidLoads == 0 {
		text = []string{"x,0,16,70", "1,-1,16,NaN", "1,0,0,1e99", ",,,", "1,0,16,70,70"}[n/invalidLoads%5]
	}
	h.Set(platform.HeaderLoad, text)
}

// work returns how long work takes now that takes d at usual speed.
func (t *target) work(d time.Duration) time.Duration {
	return time.Duration(float64(d) * t.speedPercent(time.Now()) / 100)
}

// checkSpeeds checks that a leader has published the speeds of fast and of slow targets.
func (f *fleet) checkSpeeds() {
	slow, fast := 0, 0
	for _, h := range f.hosts[:entriesWithDisk] {
		text, err := os.ReadFile(h.logPath)
		if err != nil {
			f.history.addFailure("reading the log of %s: %v", h.name, err)
		}
		for _, m := range publishedSpeed.FindAllSubmatch(text, -1) {
			switch percent, _ := strconv.Atoi(string(m[1])); {
			case percent >= slowPercent-publishedStep:
				slow++
			case percent > 0:
				fast++
			}
		}
	}
	if slow == 0 || fast == 0 {
		f.history.addFailure("leaders published %d speeds of slow and %d of fast targets", slow, fast)
	}
}

// publishedStep is the resolution of published speeds, in percent.
const publishedStep = 10

// publishedSpeed matches the leader's log line.
var publishedSpeed = regexp.MustCompile(`target_speed_changed.*"percent":(\d+)`)
