package consensus_test

import (
	"flag"
	"os"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// TestMain fixes rapid's seed to make runs reproducible. For other schedules:
// go test ./consensus -run Schedules -rapid.seed=N -rapid.checks=M
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

// TestSchedules runs random schedules in which all kinds of faults are combined.
func TestSchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawSchedule(t, 6000)
		if c := s.run(); c.failure != "" {
			t.Fatalf("%s\nschedule: %#v", c.failure, s)
		}
	})
}

// regressionSchedules are schedules that failed when the named rule was broken. They
// must pass.
var regressionSchedules = map[string]schedule{
	"acknowledgement before the sync": {Seed: 22, Members: 5, Steps: 6000, Loss: 98, Reorder: 240, Crash: 11, Freeze: 4, Cut: 18, Disk: 1, Change: 43, Hand: 1},
	"lease too long":                  {Seed: 31, Members: 5, Steps: 4284, Loss: 87, Repeat: 81, Reorder: 20, Freeze: 10, Cut: 5, Disk: 1, Change: 10},
	"read before the first commit":    {Seed: 0, Members: 5, Steps: 4027, Loss: 104, Repeat: 3, Reorder: 272, Crash: 1, Freeze: 4, Cut: 2, Disk: 5, Change: 28, Hand: 4},
	"two changes at once":             {Seed: 220, Members: 5, Steps: 6000, Loss: 218, Repeat: 2, Reorder: 4, Crash: 18, Freeze: 3, Cut: 1, Disk: 3, Change: 50, Hand: 3},
	"read without a round":            {Seed: 21, Members: 5, Steps: 4720, Loss: 29, Repeat: 196, Reorder: 1, Freeze: 5, Cut: 6, Hand: 3},
	"lease kept in a handover":        {Seed: 15, Members: 3, Steps: 5451, Loss: 3, Repeat: 11, Reorder: 35, Crash: 3, Freeze: 6, Cut: 2, Change: 28, Hand: 10},
	"lease renewed in a handover":     {Seed: 2, Members: 5, Steps: 3136, Repeat: 6, Reorder: 61, Crash: 1, Freeze: 6, Cut: 6, Disk: 2, Hand: 7},
	"no election restriction":         {Seed: 1041, Members: 3, Steps: 3551, Loss: 1, Repeat: 57, Reorder: 556, Crash: 3, Freeze: 16, Cut: 3, Disk: 4, Change: 1, Hand: 1},
	"vote not persisted":              {Seed: 0, Members: 3, Steps: 100},
	"own unsynced entries counted":    {Seed: 3, Members: 5, Steps: 1051, Repeat: 18, Reorder: 10, Crash: 23, Freeze: 11, Cut: 1, Disk: 3, Change: 50},
	"stickiness ended by any member":  {Seed: 161863, Members: 3, Steps: 817, Loss: 48, Repeat: 6, Reorder: 43, Crash: 6, Freeze: 24, Cut: 3, Change: 4, Hand: 4},
	"truncation without a conflict":   {Seed: 17, Members: 3, Steps: 3551, Loss: 1, Repeat: 57, Reorder: 556, Crash: 3, Freeze: 16, Cut: 3, Disk: 4, Change: 1, Hand: 1},
}

func TestKeptSchedules(t *testing.T) {
	for name, s := range regressionSchedules {
		if c := s.run(); c.failure != "" {
			t.Errorf("%s: %s", name, c.failure)
		}
	}
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
