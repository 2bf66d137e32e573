package main

import (
	"fmt"
	"sync"
	"time"
)

// Models of the case: each replica has room for three.
const (
	modelMb  = 65100.0
	memoryMb = 220000.0
)

// modelsConfig is a config with one service of model replicas, and some models.
func modelsConfig(version int, models ...string) object {
	list := []object{}
	for _, m := range models {
		list = append(list, object{"Name": m, "WeightsMb": modelMb, "LoadS": 6.0, "Adapters": 0, "AdapterMb": 12.0, "WarmS": 0.38, "DiskS": 0.76})
	}
	return object{"Version": version,
		"Routes": []object{{"Name": "r-1", "Host": "host.example", "PathPrefix": "/chat/", "Kind": "streaming", "TimeoutMs": 20000, "TargetLatencyMs": 2500, "Priority": 1,
			"Service": "models", "MaxAttempts": 1, "Anonymous": false, "Sticky": true, "Resumable": false, "GapTargetMs": 300}},
		"Services": []object{{"Name": "models", "HealthPath": "/health", "MaxConns": 250, "Protocol": "h1", "Tls": false, "Engine": object{"Slots": 32, "KvCapacity": 122076,
			"KvTokenBytes": 163840, "LinkMbps": 1100000.0, "Stride": 7, "Models": list, "WeightsMb": memoryMb, "AdapterCapacity": 8, "LoadsPerS": 6.2}}},
		"Limits":  object{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": []object{}}
}

// retiredModel: a config takes models away that replicas hold, and a client asks for a model that none holds.
func retiredModel(f *fleet, trouble bool) error {
	all := []string{"m1", "m2", "m3", "m4", "m5", "m6"}
	atStart := [][]string{{"m1", "m2", "m3"}, {"m1", "m4", "m5"}}
	var replicas []*replica
	for range 3 {
		f.addEntry(len(f.entries()))
	}
	for i := range atStart {
		h := f.addAgent(i, "models")
		p := newReplica("models", h.replica, f.record)
		p.memoryMb, p.weights, p.loadTime, p.events, p.pause = memoryMb, map[string]float64{}, 6*time.Second, 20, 100*time.Millisecond
		for _, m := range all {
			p.weights[m] = modelMb
		}
		if err := p.start(atStart[i]...); err != nil {
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
	if err := f.put(modelsConfig(1, all...), 30*time.Second); err != nil {
		return err
	}
	if err := f.awaitReady(20 * time.Second); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	stop := make(chan struct{})
	var work sync.WaitGroup
	cut := 0
	work.Go(func() { cut = f.chat(stop, "m1") })
	time.Sleep(3 * time.Second)
	next := modelsConfig(2, all...)
	if trouble {
		next = modelsConfig(2, "m1", "m2", "m4", "m6") // m3 and m5 are retired
	}
	if err := f.put(next, 10*time.Second); err != nil {
		return err
	}
	time.Sleep(5 * time.Second)
	served := false
	for i := 0; i < 8 && !served; i++ { // the client comes back after a refusal
		_, a := f.send(f.entries()[i%3], call{path: "/chat/1", model: "m6", deadline: 15 * time.Second})
		served = a.status == 200 && a.whole
		time.Sleep(500 * time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	close(stop)
	work.Wait()
	f.record.add("%d streams were cut off in the middle", cut)
	if !trouble && !served {
		return fmt.Errorf("a request for a model that fits was not served")
	}
	return nil
}

// chat sends a request for a model four times a second. It returns how many streams were cut off.
func (f *fleet) chat(stop <-chan struct{}, model string) (cut int) {
	var calls sync.WaitGroup
	var mu sync.Mutex
	for i := 0; ; i++ {
		select {
		case <-stop:
			calls.Wait()
			return cut
		case <-time.After(250 * time.Millisecond):
		}
		h := f.entries()[i%3]
		calls.Go(func() {
			_, a := f.send(h, call{path: "/chat/1", model: model, deadline: 10 * time.Second})
			if a.status == 200 && !a.whole {
				mu.Lock()
				cut++
				mu.Unlock()
			}
		})
	}
}
