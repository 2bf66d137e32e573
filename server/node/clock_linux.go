package node

import (
	"time"

	"golang.org/x/sys/unix"
)

// monotonic returns the time since boot. Unlike the clock of package time it
// also counts while the host is suspended: a leader that slept with its host
// must find its lease ended, like one whose process was stopped.
func monotonic() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return sinceStart()
	}
	return time.Duration(t.Nano())
}
