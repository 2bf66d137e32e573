package main

import (
	"fmt"
	"sync"
	"time"
)

// tornText is an entry of another writer that ends within its list of models.
const tornText = `{"Service":"models","Address":"127.0.0.9:8080","Zone":"zone-a","Version":"v1","Slots":32,"State":"ready","ColdRemainingMs":0,"Stage":"colocated","Models":[{"Name":"daka510000","Version":1,"Adapters":[]}`

// serveOn is how long a replica that drains serves on: DrainMs and a little longer.
const serveOn = 6 * time.Second

// tornEntry: an entry of the list ends early, and a replica is drained and taken away meanwhile.
func tornEntry(f *fleet, trouble bool) error {
	for range 3 {
		f.addEntry(len(f.entries()))
	}
	var replicas []*replica
	for i := range 4 {
		p := newReplica("plain", fmt.Sprintf("%s:%d", f.ip(200+i), portReplica), f.record)
		p.pause = 60 * time.Millisecond
		if err := p.start(); err != nil {
			return err
		}
		defer p.stop()
		replicas = append(replicas, p)
	}
	f.serveList(replicas...)
	for _, h := range f.hosts {
		if err := h.start(); err != nil {
			return err
		}
	}
	if err := f.put(limitConfig(1, 0), 30*time.Second); err != nil {
		return err
	}
	if err := f.awaitReady(20 * time.Second); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	var mu sync.Mutex
	statuses := map[int]int{}
	stop := make(chan struct{})
	var work sync.WaitGroup
	for i := range 24 {
		work.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(10 * time.Millisecond):
				}
				_, a := f.send(f.entries()[i%3], call{path: "/order/1", key: "i9n73hh2b9wu3fexd9dn", deadline: 3 * time.Second})
				mu.Lock()
				statuses[a.status]++
				mu.Unlock()
			}
		})
	}
	time.Sleep(time.Second)
	if trouble {
		f.record.add("the list has an entry of another writer: %s", tornText)
		f.foreign.Store(tornText)
	}
	time.Sleep(2 * time.Second)
	leaving := replicas[0]
	leaving.drain()
	time.Sleep(serveOn)
	leaving.stop()
	time.Sleep(2 * time.Second)
	close(stop)
	work.Wait()
	f.record.add("answers by status: %v", statuses)
	if leaving.shownAt.IsZero() {
		return fmt.Errorf("the list was not read")
	}
	if leaving.late > 0 {
		f.record.violation("DRAIN: %d requests reached a replica later than %v after the list had shown it as draining; answers by status: %v", leaving.late, drainLimit, statuses)
	}
	return nil
}
