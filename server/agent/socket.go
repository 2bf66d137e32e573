package agent

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// targetSilence is how long a connection to the target may be without any sign
// of life from the other end's network stack.
const targetSilence = 3 * time.Second

// targetKeepAlive probes an idle connection. A connection that something between
// the two ends has lost track of answers no probe: reads on it then fail after
// about targetSilence, where they would else wait for good.
var targetKeepAlive = net.KeepAliveConfig{
	Enable:   true,
	Idle:     time.Second,
	Interval: time.Second,
	Count:    2,
}

// boundUnacknowledged limits how long sent bytes may stay unacknowledged. Probes
// are not sent while bytes are under way, so that without it a lost connection
// would show only after the kernel's retransmissions, a quarter of an hour.
func boundUnacknowledged(_, _ string, c syscall.RawConn) error {
	var setErr error
	err := c.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(targetSilence.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return setErr
}
