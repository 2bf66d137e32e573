package soak

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Limits and sizes of the tests of crowds. A crowd's connections hold several times crowdMemory if all
// of their bytes are kept.
const (
	crowdMemory  = 96 << 20 // of a process
	crowdFiles   = 1500     // descriptors of a process
	crowdBody    = 1 << 20  // largest body of a request
	crowdBodies  = 120      // connections that send bodies
	crowdHeads   = 1000     // connections that send a header without an end
	crowdSilent  = 1600     // connections that send nothing, or one byte of a body
	crowdFarOver = 1 << 30  // announced length of a body far over the limit
	crowdPieces  = 16 << 10
	// reservedFiles of a process's descriptors are not for sockets and data files.
	reservedFiles = 200
	// crowdReturn is the pause of a client whose connection was closed, before it opens another one.
	crowdReturn = 500 * time.Millisecond
)

// crowd is many clients of one address that do the same. Each opens another connection when its own is
// closed, until the crowd is stopped.
type crowd struct {
	address string // IP:port
	members int
	// send writes what a client sends. It returns when the client has sent all it wants to.
	send func(w io.Writer) error
	// unread has clients that read no answer.
	unread bool

	arrived   sync.WaitGroup // clients that have sent all, or failed to, once
	responses atomic.Int64
}

// start opens the crowd's connections and returns a function that closes them.
func (c *crowd) start() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var members sync.WaitGroup
	c.arrived.Add(c.members)
	for range c.members {
		members.Go(func() {
			sent := sync.OnceFunc(c.arrived.Done)
			defer sent()
			for ctx.Err() == nil {
				c.visit(ctx, sent)
				sleep(ctx, crowdReturn)
			}
		})
	}
	return func() {
		cancel()
		members.Wait()
	}
}

// visit opens one connection and keeps it until the other side closes it. sent is called when all has
// been sent.
func (c *crowd) visit(ctx context.Context, sent func()) {
	conn, err := new(net.Dialer).DialContext(ctx, "tcp4", c.address)
	if err != nil {
		sent()
		return
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		if c.unread {
			<-ctx.Done()
			return
		}
		if n, _ := io.Copy(io.Discard, bufio.NewReader(conn)); n > 0 {
			c.responses.Add(1)
		}
	}()
	_ = c.send(conn) // fails if the host has closed the connection
	sent()
	<-answered
}

// bodies sends a header and length bytes of a body, in pieces of at most piece bytes.
func bodies(header string, length, piece int) func(io.Writer) error {
	part := bytes.Repeat([]byte("x"), piece)
	return func(w io.Writer) error {
		if _, err := io.WriteString(w, header); err != nil {
			return err
		}
		for left := length; left > 0; left -= piece {
			if _, err := w.Write(part[:min(left, piece)]); err != nil {
				return err
			}
		}
		return nil
	}
}

// chunkedBodies sends a header and a body of length bytes in chunks, without the last chunk.
func chunkedBodies(header string, length, chunk int) func(io.Writer) error {
	one := fmt.Sprintf("%x\r\n%s\r\n", chunk, strings.Repeat("x", chunk))
	batch := max(1, crowdPieces/len(one))
	text := []byte(strings.Repeat(one, batch))
	return func(w io.Writer) error {
		if _, err := io.WriteString(w, header); err != nil {
			return err
		}
		for left := length / chunk; left > 0; left -= batch {
			if _, err := w.Write(text[:min(left, batch)*len(one)]); err != nil {
				return err
			}
		}
		return nil
	}
}

// crowdLimits are the limits of fleets that crowds visit.
var crowdLimits = limits{memoryMb: crowdMemory >> 20, files: crowdFiles, bodyBytes: crowdBody}

// sendCrowds sends crowds to entry hosts, one after the other, until the context ends. Their requests are
// never whole.
func sendCrowds(ctx context.Context, f *fleet, r *rand.Rand) {
	key := withKey("key-1", withLength(crowdBody))
	kinds := []*crowd{
		{members: crowdBodies, send: bodies(key, crowdBody-1, crowdPieces)},
		{members: crowdBodies, send: chunkedBodies(withKey("key-1", chunked), crowdBody, crowdPieces)},
		{members: crowdBodies, send: bodies(callerHeader+"Padding: ", 60<<10, crowdPieces)},
		{members: crowdSilent / 2, send: bodies("", 0, 1)},
	}
	for ctx.Err() == nil {
		c := kinds[r.IntN(len(kinds))]
		c.address = fmt.Sprintf("%s%d:%d", f.net, firstEntryOctet+r.IntN(entryCount), portCallers)
		stop := c.start()
		sleep(ctx, time.Duration(500+r.IntN(1500))*time.Millisecond)
		stop()
	}
}

// callerHeader is the header of a caller's request up to the fields of its body.
const callerHeader = "POST /order/x HTTP/1.1\r\nHost: soak.example\r\nRequest-Id: crowd\r\nDeadline-Ms: 4000\r\nContent-Type: application/json\r\n"

func withKey(key, fields string) string {
	return callerHeader + "Authorization: Bearer " + key + "\r\n" + fields + "\r\n\r\n"
}

func withLength(n int) string { return fmt.Sprintf("Content-Length: %d", n) }

const chunked = "Transfer-Encoding: chunked"

// headerFlood has the kind of the endless response that a target sends.
const headerFlood = "Flood"

// floods are the endless responses by their kind: their beginning and what is repeated.
var floods = map[string][2]string{
	"head":   {"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
	"body":   {"HTTP/1.1 200 OK\r\n\r\n", "x"},
	"chunks": {"HTTP/1.1 200 OK\r\n" + chunked + "\r\n\r\n", "10\r\n0123456789abcdef\r\n"},
	"sizes":  {"HTTP/1.1 200 OK\r\n" + chunked + "\r\n\r\n", "1;extension\r\nx\r\n"},
	"event":  {"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: ", "x"},
}

// minFlood, in bytes, is what endless responses have until they are a crowd's.
const minFlood = crowdBodies * 64 << 10

// flood writes an endless response until its reader closes the connection.
func (t *target) flood(w http.ResponseWriter, kind string) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler) // the host has disconnected
	}
	defer conn.Close()
	text := floods[kind]
	_, err = io.WriteString(conn, text[0])
	for part := strings.Repeat(text[1], crowdPieces/len(text[1])); err == nil; {
		_, err = io.WriteString(conn, part)
		t.history.flooded.Add(int64(len(part)))
	}
}

// usage is the most that a process was seen to use.
type usage struct {
	memory int64 // resident, and unread in the receive buffers of its sockets; bytes
	unread int64 // of these
	files  int
}

// usageInterval is the interval between looks at a process.
const usageInterval = 20 * time.Millisecond

// watchUsage returns a function that returns the most that a process at an address used since.
func watchUsage(pid int, ip string) (most func() usage) {
	var u usage
	done := make(chan struct{})
	var watcher sync.WaitGroup
	watcher.Go(func() {
		for {
			unread := unreadBytes(ip)
			u.memory, u.unread = max(u.memory, residentBytes(pid, "VmRSS:")+unread), max(u.unread, unread)
			u.files = max(u.files, openFiles(pid))
			select {
			case <-done:
				return
			case <-time.After(usageInterval):
			}
		}
	})
	return func() usage {
		close(done)
		watcher.Wait()
		u.memory = max(u.memory, residentBytes(pid, "VmHWM:"))
		return u
	}
}

// residentBytes returns a field of a process's status; 0 if it has ended.
func residentBytes(pid int, field string) int64 {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	_, rest, _ := strings.Cut(string(text), field)
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		return 0
	}
	kb, _ := strconv.ParseInt(fields[0], 10, 64)
	return kb << 10
}

// openFiles returns how many descriptors a process has; 0 if it has ended.
func openFiles(pid int) int {
	entries, _ := os.ReadDir(filepath.Join("/proc", strconv.Itoa(pid), "fd"))
	return len(entries)
}

// unreadBytes returns the bytes that have arrived at an IPv4 address and were not read.
func unreadBytes(ip string) int64 {
	text, _ := os.ReadFile("/proc/net/tcp")
	b := net.ParseIP(ip).To4()
	prefix := fmt.Sprintf("%02X%02X%02X%02X:", b[3], b[2], b[1], b[0])
	total := int64(0)
	for line := range strings.Lines(string(text)) {
		f := strings.Fields(line) // number, local address, remote address, state, queues
		if len(f) < 5 || !strings.HasPrefix(f[1], prefix) || f[3] == listening {
			continue
		}
		_, unread, _ := strings.Cut(f[4], ":")
		n, _ := strconv.ParseInt(unread, 16, 64)
		total += n
	}
	return total
}

// listening is the state of a listening socket in /proc/net/tcp.
const listening = "0A"
