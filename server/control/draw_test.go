package control

import (
	"math"
	"testing"
	"time"
)

// A workspace may spend a billion tokens at once and one a second. The time that these take
// did not fit into the message, came out below zero, and each host refused every burst.
func TestTheRoomOfALineFitsItsMessage(t *testing.T) {
	for given, want := range map[time.Duration]int32{
		1_500 * time.Millisecond: 1_500, -20 * time.Millisecond: -20,
		1e9 * time.Second: math.MaxInt32, -1e9 * time.Second: math.MinInt32,
	} {
		if got := room(given); got != want {
			t.Errorf("%v gives %d, not %d", given, got, want)
		}
	}
}
