package consensus_test

import (
	"flag"
	"os"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// TestMain fixes rapid's seed, so that a check ends the same each time. Other
// schedules: go test ./consensus -run Schedules -rapid.seed=N -rapid.checks=M
func TestMain(m *testing.M) {
	flag.Parse()
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == "rapid.seed" })
	if !given {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

func TestConsensus(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "consensus")
}

// TestSchedules plays random schedules of everything that fails, at once.
func TestSchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawSchedule(t, 6000)
		if c := s.run(); c.broken != "" {
			t.Fatalf("%s\nschedule: %#v", c.broken, s)
		}
	})
}

func drawSchedule(t *rapid.T, steps int) schedule {
	return schedule{
		Seed:    int64(rapid.Uint32().Draw(t, "seed")),
		Members: rapid.SampledFrom([]int{3, 5}).Draw(t, "members"),
		Steps:   rapid.IntRange(100, steps).Draw(t, "steps"),
		Loss:    rapid.IntRange(0, 300).Draw(t, "loss"),
		Repeat:  rapid.IntRange(0, 200).Draw(t, "repeat"),
		Reorder: rapid.IntRange(0, 1000).Draw(t, "reorder"),
		Crash:   rapid.IntRange(0, 25).Draw(t, "crash"),
		Freeze:  rapid.IntRange(0, 25).Draw(t, "freeze"),
		Cut:     rapid.IntRange(0, 25).Draw(t, "cut"),
		Disk:    rapid.IntRange(0, 5).Draw(t, "disk"),
		Change:  rapid.IntRange(0, 50).Draw(t, "change"),
		Hand:    rapid.IntRange(0, 10).Draw(t, "hand"),
	}
}
