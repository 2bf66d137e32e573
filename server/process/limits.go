package process

import (
	"os"
	"strconv"
	"strings"

	"golang.org/x/sys/unix"

	"cowsliptiller/coord/connlimit"
	"cowsliptiller/coord/fault"
)

// Limits are what the host gives this process.
type Limits struct {
	MemoryBytes int64
	Files       int // descriptors for sockets and data files
}

// headerDivisor is the part of the memory for headers of callers that are not whole.
const headerDivisor = 16

// HeaderBytes returns the limit of all headers that are not whole, in bytes.
func (l Limits) HeaderBytes() int64 { return l.MemoryBytes / headerDivisor }

// Connections returns the limits of the connections to this process.
func (l Limits) Connections() connlimit.Shares { return connlimit.SharesOf(l.Files) }

// Sockets returns the limits of the kernel's part of listeners for clients outside of the fleet.
func (l Limits) Sockets() connlimit.Sockets {
	return connlimit.SocketsFor(l.MemoryBytes, l.Connections().Callers)
}

// Complete returns l with the machine's limits where it has none.
func (l Limits) Complete() (Limits, error) {
	if l.MemoryBytes == 0 {
		var info unix.Sysinfo_t
		if err := unix.Sysinfo(&info); err != nil {
			return l, fault.New(fault.Internal, "memory of the host: %v", err)
		}
		l.MemoryBytes = groupMemory(int64(info.Totalram) * int64(info.Unit))
	}
	if l.Files == 0 {
		var files unix.Rlimit
		if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &files); err != nil {
			return l, fault.New(fault.Internal, "limit of descriptors: %v", err)
		}
		l.Files = int(min(files.Cur, maxFiles))
	}
	return l, nil
}

// maxFiles bounds the use of a limit that is practically none.
const maxFiles = 1 << 20

// groupMemoryFile has the memory limit of the process's control group.
const groupMemoryFile = "/sys/fs/cgroup/memory.max"

// groupMemory returns the memory limit of the control group; total if it has none.
func groupMemory(total int64) int64 {
	text, err := os.ReadFile(groupMemoryFile)
	if err != nil {
		return total // the host has no control groups of this version
	}
	limit, err := strconv.ParseInt(strings.TrimSpace(string(text)), 10, 64)
	if err != nil || limit <= 0 {
		return total // "max": no limit
	}
	return min(limit, total)
}
