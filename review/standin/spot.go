package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

func init() { cases["spot"] = spotCase }

// noticeMs is how long after its notice the replica is gone.
const noticeMs = 2000

// Size of the case: one of seven replicas leaves; three of them send one stream in twenty without a length.
const (
	spotReplicas = 7
	spotStreams  = 280
)

// spotCase: a replica that streams without a length is removed at short notice.
func spotCase(f *fleet) int {
	ids := make([]string, spotReplicas)
	for i := range ids {
		ids[i] = fmt.Sprintf("i-7f3a91c%d", i)
	}
	var replicas []*process
	for i, id := range ids {
		arguments := []string{"-models", "alpha", "-disk", "alpha", "-events", "60", "-gap", "100ms"}
		if 2*(i+1) <= len(ids) {
			arguments = append(arguments, "-unframed", "20")
		}
		replicas = append(replicas, f.startReplica(fmt.Sprintf("replica-%d", i+1), sideOctet+i, id, arguments...))
		f.list.add(instance{Service: modelService, Address: f.address(sideOctet+i, portReplica), Zone: "zone-a", Version: "v1", Slots: 64, State: "ready", Stage: "colocated", Id: id, Models: []heldModel{{"alpha", 1, []string{}}}})
	}
	f.startEntries()
	for i := range ids {
		f.startSide(i)
	}
	f.putConfig(config("alpha"))
	f.awaitReady()
	time.Sleep(3 * time.Second)

	var all sync.WaitGroup
	var mu sync.Mutex
	var answers []answer
	for i := range spotStreams {
		path := "/note/x" // may be resumed
		if i%4 == 0 {
			path = "/priority/x" // may not
		}
		all.Go(func() {
			a := f.send(i%entries, http.MethodPost, path, "alpha", 11*time.Second)
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, a)
		})
	}
	time.Sleep(time.Second)
	if f.trouble {
		gone := time.Now().Add(noticeMs * time.Millisecond)
		f.list.set(ids[0], func(e *instance) { e.State, e.RemainingMs = "draining", noticeMs })
		if resp, err := http.Post(fmt.Sprintf("http://%s/_leave?ms=%d", f.address(sideOctet, portReplica), noticeMs), "", nil); err == nil {
			resp.Body.Close()
		}
		f.record.add("replica %s is removed at short notice: gone in %d ms", ids[0], noticeMs)
		time.Sleep(time.Until(gone))
		replicas[0].kill()
		f.list.remove(ids[0])
	}
	all.Wait()
	for i := range ids {
		text, err := os.ReadFile(filepath.Join(f.dir, fmt.Sprintf("replica-%d.runs", i+1)))
		if err != nil {
			panic(err)
		}
		for line := range strings.Lines(string(text)) {
			f.record.add("replica: %s", strings.TrimSpace(line))
		}
	}
	truncated := 0
	for _, a := range answers {
		if a.complete && a.status == http.StatusOK && !strings.HasSuffix(lastLine(a.body), "event 60 of 60") {
			truncated++
			f.record.add("ORDER: the stream %s ended as complete after %q", a.id, lastLine(a.body))
		}
	}
	if truncated > 0 {
		fmt.Printf("ORDER broken: %d of %d streams ended as complete before their last event\n", truncated, len(answers))
		return broken
	}
	fmt.Println("ORDER held")
	return held
}
