package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["unreadable"] = unreadableCase }

// unreadableCase: the platform's list has an entry of another writer whose bytes can't be read, and a replica leaves.
func unreadableCase(f *fleet) int {
	ids := []string{"i-7f3a91c2", "i-2b9d04e7", "i-90c3e5a1", "i-44d1f7b8"}
	var replicas []*process
	for i, id := range ids {
		replicas = append(replicas, f.startReplica(fmt.Sprintf("replica-%d", i+1), plainOctet+i, id, "-work", "100ms", "-slots", "6"))
		f.list.add(instance{Service: plainService, Address: f.address(plainOctet+i, portReplica), Zone: "zone-a", Version: "v1", Slots: 6, State: "ready", Stage: "colocated", Id: id, Models: []heldModel{}})
	}
	f.startEntries()
	f.putConfig(config("alpha"))
	f.awaitReady()
	time.Sleep(2 * time.Second)

	stop := make(chan struct{})
	var clients sync.WaitGroup
	var lost atomic.Int64
	for i := range 12 {
		clients.Go(func() { lost.Add(f.clientsOf(i, stop)) })
	}
	time.Sleep(3 * time.Second)
	if f.trouble {
		f.list.change(func() {
			f.list.foreign = []byte("{\"Id\":\"x-5d02\",\"Service\":\"\x01\x02\x03\",\"Address\":\"\",\"Zone\":\"zone-a\",\"State\":\"ready\"}")
		})
		f.record.add("the list has one entry more, of another writer, whose bytes can't be read")
		time.Sleep(2 * time.Second)
	}
	f.list.set(ids[0], func(e *instance) { e.State = "draining" })
	f.record.add("the list shows %s as draining", ids[0])
	for f.list.readsSince() == 0 {
		time.Sleep(5 * time.Millisecond)
	}
	shown := time.Now()
	f.record.add("the list was read since")
	time.Sleep((drainMs + 3000) * time.Millisecond)
	replicas[0].kill()
	f.list.remove(ids[0])
	f.record.add("%s is gone", ids[0])
	time.Sleep(3 * time.Second)
	close(stop)
	clients.Wait()

	bound := shown.Add(drainMs * time.Millisecond)
	late := 0
	for i := range ids {
		text, err := os.ReadFile(filepath.Join(f.dir, fmt.Sprintf("replica-%d.runs", i+1)))
		if err != nil {
			panic(err)
		}
		for line := range strings.Lines(string(text)) {
			f.record.add("replica: %s", strings.TrimSpace(line))
			words := strings.Fields(line)
			at, _ := strconv.ParseInt(words[0], 10, 64)
			if words[1] == ids[0] && words[2] == "run" && time.UnixMilli(at).After(bound) {
				late++
			}
		}
	}
	f.record.add("bookings that ended without an answer of a replica and without a promise: %d", lost.Load())
	if late > 0 {
		fmt.Printf("DRAIN broken: %d requests reached the replica later than %d ms after the list had shown it as draining, %d bookings were lost\n", late, drainMs, lost.Load())
		return broken
	}
	fmt.Println("DRAIN held")
	return held
}

// clientsOf sends bookings one after the other until stop is closed, and returns how many were lost: they may have run,
// and must not be sent again.
func (f *fleet) clientsOf(i int, stop <-chan struct{}) (lost int64) {
	for {
		select {
		case <-stop:
			return lost
		case <-time.After(40 * time.Millisecond):
		}
		a := f.send(i%entries, http.MethodPost, "/booking/x", "", 1500*time.Millisecond)
		if !a.complete || a.status == http.StatusBadGateway || a.status == http.StatusGatewayTimeout {
			lost++
		}
	}
}
