package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"
)

func init() { cases["limit"] = limitCase }

// firstDisk are the models of which the first replica has a copy on its disk, and otherModels those that the others
// hold.
const firstDisk = "alpha,beta,gamma,delta,epsilon"

var otherModels = []string{"", "m01,m02,m03", "m04,m05,m06", "m07,m08,m09"}

// Times of the case.
const (
	lateAfter = 9 * time.Second        // the order is carried out so long after it was sent
	downFor   = 2 * time.Second        // the replica is down
	crashIn   = 150 * time.Millisecond // after the order
)

// limitCase: an order is carried out late, and the replica starts again under its id in between.
func limitCase(f *fleet) int {
	late := make(chan lateOrder, 1)
	lateURL := f.receiveLate(late)
	sequence := "-1"
	if f.trouble {
		sequence = "3"
	}
	id := "i-7f3a91c2"
	var replica *process
	for i, models := range otherModels {
		own := []string{"-models", models, "-disk", models}
		if i == 0 {
			own = []string{"-models", "alpha,beta,gamma", "-disk", firstDisk, "-late-sequence", sequence, "-late-url", lateURL}
		}
		instanceID := fmt.Sprintf("i-2b9d04e%d", i)
		if i == 0 {
			instanceID = id
		}
		p := f.startReplica(fmt.Sprintf("replica-%d", i+1), sideOctet+i, instanceID, own...)
		if i == 0 {
			replica = p
		}
		f.list.add(instance{Service: modelService, Address: f.address(sideOctet+i, portReplica), Zone: "zone-a", Version: "v1", Slots: 64, State: "ready", Stage: "colocated", Id: instanceID, Models: []heldModel{}})
	}
	f.startEntries()
	for i := range otherModels {
		f.startSide(i)
	}
	f.putConfig(config(slices.Concat(words(firstDisk), words(strings.Join(otherModels, ",")))...))
	f.awaitReady()
	time.Sleep(2 * time.Second)

	f.demand("alpha", 3)
	f.demand("delta", 1)
	time.Sleep(3 * time.Second)
	var clients sync.WaitGroup
	clients.Go(func() { f.demand("epsilon", 1) })
	if f.trouble {
		select {
		case o := <-late:
			f.record.add("the order %s for %s gets no answer and is on its way", o.Body, o.Instance)
			f.restartAndDeliver(replica, id, o)
		case <-time.After(10 * time.Second):
			panic("the order that is to be late was not given")
		}
	}
	clients.Wait()
	time.Sleep(3 * time.Second)
	return f.checkLimit()
}

// restartAndDeliver ends the replica, starts it again under its id, has the first three models asked for, and then
// delivers the order.
func (f *fleet) restartAndDeliver(replica *process, id string, o lateOrder) {
	sent := time.Now()
	time.Sleep(crashIn)
	replica.kill()
	var clients sync.WaitGroup
	for _, model := range []string{"alpha", "beta", "gamma"} {
		clients.Go(func() {
			for time.Since(sent) < lateAfter+time.Second {
				f.demand(model, 2)
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	time.Sleep(downFor)
	replica.start = f.again(id)
	f.restart(replica)
	time.Sleep(time.Until(sent.Add(lateAfter)))
	f.deliver(o)
	clients.Wait()
}

// again returns the start of the replica under the id that it had: it holds nothing, and its disk has what it had.
func (f *fleet) again(id string) func() *exec.Cmd {
	return f.replicaCommand("replica-1", sideOctet, id, "-disk", firstDisk)
}

// demand sends requests for a model at the same time and waits for their answers.
func (f *fleet) demand(model string, n int) {
	var all sync.WaitGroup
	for i := range n {
		all.Go(func() { f.send(i%entries, http.MethodPost, "/note/x", model, 6*time.Second) })
	}
	all.Wait()
}

// receiveLate receives orders that are on their way for seconds.
func (f *fleet) receiveLate(late chan<- lateOrder) string {
	l, err := net.Listen("tcp4", f.address(6, portList))
	if err != nil {
		panic(err)
	}
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			var o lateOrder
			if json.NewDecoder(r.Body).Decode(&o) == nil {
				late <- o
			}
		}))
	}()
	return "http://" + l.Addr().String() + "/"
}

// deliver carries out an order that was on its way.
func (f *fleet) deliver(o lateOrder) {
	req, err := http.NewRequest(http.MethodPost, "http://"+f.address(sideOctet, portReplica)+"/order", bytes.NewReader(o.Body))
	if err != nil {
		panic(err)
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Expect-Instance", o.Instance)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		f.record.add("the late order reaches the replica: %v", err)
		return
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	f.record.add("the late order reaches the replica: status %d", resp.StatusCode)
}

// checkLimit reports whether a replica was ordered to load more than it can hold.
func (f *fleet) checkLimit() int {
	text, err := os.ReadFile(filepath.Join(f.dir, "replica-1.runs"))
	if err != nil {
		panic(err)
	}
	result := held
	for line := range strings.Lines(string(text)) {
		f.record.add("replica: %s", strings.TrimSpace(line))
		if strings.Contains(line, " CRASH ") {
			result = broken
		}
	}
	fmt.Println(map[int]string{held: "LIMIT held", broken: "LIMIT broken: the replica was ordered to load more than WeightsMb"}[result])
	return result
}
