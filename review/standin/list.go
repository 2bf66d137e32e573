package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"slices"
	"sync"
)

// instance is an entry of the platform's list.
type instance struct {
	Service, Address, Zone, Version string
	Slots                           int
	State                           string
	ColdRemainingMs                 int
	Stage                           string
	Models                          []heldModel
	Id                              string
	RemainingMs                     int `json:",omitempty"`
}

type heldModel struct {
	Name     string
	Version  int
	Adapters []string
}

// list is the platform's list of replicas, GET /instances.
type list struct {
	record *record

	mu      sync.Mutex
	entries []instance
	foreign []byte // an entry of another writer, as it stands in the list; nil: none
	reads   int    // since the latest change
}

func newList(r *record) *list { return &list{record: r} }

// change changes the list.
func (l *list) change(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f()
	l.reads = 0
}

func (l *list) add(e instance) {
	l.change(func() { l.entries = append(l.entries, e) })
}

// set changes an instance's entry.
func (l *list) set(id string, f func(*instance)) {
	l.change(func() {
		for i := range l.entries {
			if l.entries[i].Id == id {
				f(&l.entries[i])
			}
		}
	})
}

func (l *list) remove(id string) {
	l.change(func() { l.entries = slices.DeleteFunc(l.entries, func(e instance) bool { return e.Id == id }) })
}

// readsSince is how often the list was read since it changed last.
func (l *list) readsSince() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reads
}

func (l *list) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/instances" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reads++
	var page [][]byte
	for _, e := range l.entries {
		text, err := json.Marshal(e)
		if err != nil {
			panic(err)
		}
		page = append(page, text)
	}
	if l.foreign != nil {
		page = append(page, l.foreign)
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(slices.Concat([]byte(`{"Instances":[`), bytes.Join(page, []byte(",")), []byte(`],"Next":null}`)))
}
