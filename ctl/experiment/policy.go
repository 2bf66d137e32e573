package experiment

import (
	"time"

	"cowsliptiller/coord/config"
	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/placement"
	"cowsliptiller/coord/routing"
)

// policy makes the parts that decide; the driver calls them and knows no more.
type policy struct {
	name    string
	limiter func(w *world) limiter
	room    func(w *world, entry int) room
	chooser func(w *world, entry int) chooser
	planner func(w *world) planner
	queue   func(w *world, t config.TargetSpec) queue
}

// limiter keeps the workspaces' rates over all entry hosts.
type limiter interface {
	// charge asks for a request's tokens; done is called once, now or later.
	charge(r *request, done func(ok bool))
	tick()
}

// room is where an entry host's requests wait.
type room interface {
	arrive(r *request) bool // false: refused at once
	next(model string) *request
	again(r *request) bool // a started one was refused without running; false: refused
	overload(r *request)   // a target refused it for overload
	done(r *request, ok bool)
	forecast(model string, f placement.Forecast)
	expire() []*request // those to refuse now
	demands(served map[string]int64) []placement.Demand
	waiting() []string // models for which requests wait, in order
}

// chooser is an entry host's choice of target.
type chooser interface {
	view(v routing.View)
	serves(model string) bool
	pick(r *request) (string, bool)
	started(r *request)
	finished(r *request, o routing.Outcome, took time.Duration, load *routing.LoadReport)
	refused(r *request, target string, leaving bool, resident []string)
}

// planner decides on replicas.
type planner interface {
	targets(list []placement.TargetStatus)
	replicas(list []*coordpb.Replica)
	report(p placement.Report)
	demand(entry int, list []placement.Demand)
	plan() []placement.Decision
	forecast(model string) placement.Forecast
}

// queue is the order at one target.
type queue interface {
	push(r *request) bool
	pop() *request
	first(r *request)
	done(r *request, ok bool)
	expire() []*request
	drain() []*request // the target leaves: what waits goes elsewhere
	crash() (ran, waited []*request)
	load() routing.LoadReport
}
