package explain

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"cowsliptiller/coord/fault"
)

// before is how far before a request's first line its inputs are looked for: a load
// from the weight store and the election before it fit in.
const before = 10 * time.Second

// Of returns the lines that decided a request, in the order of their times. Errors:
// fault.NotFound where no line names it: a request that was served as it should be is
// logged for one id in sixteen.
func Of(request string, lines []Line) ([]Line, error) {
	own := slices.DeleteFunc(slices.Clone(lines), func(l Line) bool { return l.Request != request })
	if len(own) == 0 {
		return nil, fault.New(fault.NotFound, "no line names request %q among %d", request, len(lines))
	}
	slices.SortStableFunc(own, byTime)
	about := subjectsOf(own)
	out := slices.DeleteFunc(slices.Clone(lines), func(l Line) bool { return !about.decided(l) })
	slices.SortStableFunc(out, byTime)
	return out, nil
}

func byTime(a, b Line) int { return a.At.Compare(b.At) }

// subjects is what the lines of a request name.
type subjects struct {
	request     string
	from, until time.Time
	hosts       map[string]bool
	targets     map[string]bool
	models      map[string]bool // without adapters
	// services for which the request found no target: what became of their targets
	// decided it, as its host saw them.
	untargeted map[string]bool
}

func subjectsOf(own []Line) subjects {
	s := subjects{
		request: own[0].Request, from: own[0].At.Add(-before), until: own[len(own)-1].At,
		hosts: map[string]bool{}, targets: map[string]bool{}, models: map[string]bool{}, untargeted: map[string]bool{},
	}
	for _, l := range own {
		s.hosts[l.Host] = true
		s.targets[l.Target] = l.Target != ""
		s.models[model(l)] = l.Model != ""
		s.untargeted[l.Service] = l.Service != "" && l.Target == ""
	}
	return s
}

func model(l Line) string {
	name, _, _ := strings.Cut(l.Model, "/")
	return name
}

// The events that tell of something other than one request.
var (
	onTargets = []string{"target_changed", "order_given", "dependency_lost", "dependency_regained"}
	onModels  = []string{"order_given", "load_permitted"}
	onHosts   = []string{
		"dependency_lost", "dependency_regained", "deployment_followed", "started", "stopping", "stopped", "settings_reloaded",
	}
	onFleet = []string{"board opened", "control member opened", "member removed", "deployment adopted"}
)

// decided reports whether a line is the request's own, or may have been an input.
func (s subjects) decided(l Line) bool {
	if l.Request != "" {
		return l.Request == s.request
	}
	if l.At.Before(s.from) || l.At.After(s.until) {
		return false
	}
	return s.targets[l.Target] && slices.Contains(onTargets, l.Message) ||
		s.models[model(l)] && slices.Contains(onModels, l.Message) ||
		s.hosts[l.Host] && slices.Contains(onHosts, l.Message) ||
		s.untargeted[l.Service] && s.hosts[l.Host] && l.Message == "target_changed" ||
		slices.Contains(onFleet, l.Message)
}

// Print writes the lines, each with its time before the last one of the request.
func Print(w io.Writer, request string, lines []Line) error {
	end := lines[len(lines)-1].At
	for _, l := range lines {
		mark := " "
		if l.Request == request {
			mark = "*"
		}
		if _, err := fmt.Fprintf(w, "%s %8dms  %-20s %-20s%s\n", mark, l.At.Sub(end).Milliseconds(), l.Host, l.Message, details(l)); err != nil {
			return fault.New(fault.Internal, "output: %v", err)
		}
	}
	return nil
}

// quoted is a text as it stands in a log, "" where there is none.
func quoted(text string) string {
	if text == "" {
		return ""
	}
	return strconv.Quote(text)
}

// details are a line's fields in order of name.
func details(l Line) string {
	all := map[string]string{"target": l.Target, "model": l.Model, "service": quoted(l.Service)}
	for name, value := range l.Fields {
		all[name] = string(value)
	}
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(all)) {
		if value := all[name]; value != "" && value != `""` && value != "null" {
			fmt.Fprintf(&b, " %s=%s", name, value)
		}
	}
	return b.String()
}
