package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// noFileLimit is the fileLimit of a host whose disk has room.
const noFileLimit = unix.RLIM_INFINITY

// Limits for control after a disk was full.
const (
	// fullDiskWriteTimeout is the limit for a change while one control host's disk is full: elections
	// and attempts at hosts that cannot take it.
	fullDiskWriteTimeout = 15 * time.Second
	// memberReturnTimeout is the limit for a control member after its disk has room again: the
	// supervisor's delay of 1 s, opening the folder, finding the leader, and a margin for a busy machine.
	memberReturnTimeout = 10 * time.Second
)

// limitFiles sets the limit of the sizes of the files that the host's process, and those started
// after it, may write, in bytes. Beyond it writes fail with EFBIG, after a part of their bytes if
// these still fit.
func (f *fleet) limitFiles(h *host, limit uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.fileLimit = limit
	h.disturbed = append(h.disturbed, time.Now())
	if err := h.applyFileLimit(); err != nil {
		f.history.addFailure("%s: limiting the sizes of files to %d bytes failed: %v", h.name, limit, err)
	}
}

// applyFileLimit applies fileLimit to the process, if one runs. The caller holds mu.
func (h *host) applyFileLimit() error {
	if h.process == nil {
		return nil
	}
	select {
	case <-h.process.ended:
		return nil // its id may be another process's
	default:
	}
	pid := h.process.cmd.Process.Pid
	var limit unix.Rlimit
	if err := unix.Prlimit(pid, unix.RLIMIT_FSIZE, nil, &limit); err != nil {
		return err
	}
	limit.Cur = min(h.fileLimit, limit.Max)
	return unix.Prlimit(pid, unix.RLIMIT_FSIZE, &limit, nil)
}

func randomControlHost(f *fleet, r *rand.Rand) *host { return f.hosts[r.IntN(entriesWithDisk)] }

// withFileLimit limits the host's files while it waits for a random duration.
func (f *fleet) withFileLimit(ctx context.Context, h *host, limit uint64, r *rand.Rand) {
	if !h.claim() {
		return // another fault has claimed this host
	}
	defer h.release()
	f.limitFiles(h, limit)
	defer f.limitFiles(h, noFileLimit)
	sleepBetween(ctx, r, 500*time.Millisecond, 6*time.Second)
}

// diskFull fills the disk of one control host.
func diskFull(ctx context.Context, f *fleet, r *rand.Rand) {
	f.withFileLimit(ctx, randomControlHost(f, r), 0, r)
}

// diskFullRestart kills a process while its disk is full and starts it on the full disk.
func diskFullRestart(ctx context.Context, f *fleet, r *rand.Rand) {
	h := randomControlHost(f, r)
	if !h.claim() {
		return // another fault has claimed this host
	}
	defer h.release()
	f.limitFiles(h, 0)
	defer f.limitFiles(h, noFileLimit)
	sleepBetween(ctx, r, 10*time.Millisecond, 3*time.Second)
	f.restartClaimed(ctx, h, syscall.SIGKILL, r, func() error { return nil })
	sleepBetween(ctx, r, 500*time.Millisecond, 4*time.Second)
}

// partialWrite is the largest number of bytes that a log file may still grow by under diskPartial: a
// few entries.
const partialWrite = 4 << 10

// diskPartial leaves room for some more bytes in the newest log file of one control host, so that a
// write fails after a part of its bytes.
func diskPartial(ctx context.Context, f *fleet, r *rand.Rand) {
	h, room := randomControlHost(f, r), r.Int64N(partialWrite)
	size, err := h.logSize()
	if err != nil {
		f.history.addFailure("%s: reading the size of the log failed: %v", h.name, err)
		return
	}
	f.withFileLimit(ctx, h, uint64(size+room), r)
}

// logSize returns the size of the newest log file of the host's control member, or 0 if it has none.
func (h *host) logSize() (int64, error) {
	names, err := filepath.Glob(filepath.Join(h.dataDir, "log", "*.log"))
	if err != nil || len(names) == 0 {
		return 0, err
	}
	info, err := os.Stat(names[len(names)-1]) // names are sorted, and numbered with leading zeros
	if os.IsNotExist(err) {
		return 0, nil // removed meanwhile
	}
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}

// disksFullInTurn fills the disks of two control hosts, one after the other. Between them both have
// room for a while.
func disksFullInTurn(ctx context.Context, f *fleet, r *rand.Rand) {
	for _, i := range r.Perm(entriesWithDisk)[:2] {
		f.withFileLimit(ctx, f.hosts[i], 0, r)
		sleepBetween(ctx, r, time.Second, 3*time.Second)
	}
}

// memberError returns nil if the host's control member runs and has a leader.
func (o *operator) memberError(h *host) error {
	ctx, cancel := context.WithTimeout(context.Background(), 1500*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d/operator/v1/status", h.ip, portOperators), nil)
	if err != nil {
		return err
	}
	token, err := os.ReadFile(o.fleet.tokenPath())
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+string(token))
	resp, err := o.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("the control member of %s is not running: status %d", h.name, resp.StatusCode)
	}
	var status struct {
		Leader uint64 `json:"leader_id"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&status); err != nil {
		return err
	}
	if status.Leader == 0 {
		return fmt.Errorf("the control member of %s knows no leader", h.name)
	}
	return nil
}
