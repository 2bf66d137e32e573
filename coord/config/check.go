package config

import (
	"fmt"
	"regexp"
	"slices"
	"time"
)

// Limits on values of a questionnaire. They reject typing errors, such as an extra
// digit or a wrong unit, before these get into a configuration.
const (
	maxNames    = 100_000       // entries in one list
	maxRate     = 1_000_000_000 // tokens per second for a rate, tokens for a burst
	maxDeadline = Duration(24 * time.Hour)
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// checker collects the problems found in a questionnaire, each with its line number.
type checker struct {
	lines    lines
	problems []string
}

func (c *checker) report(path, format string, args ...any) {
	const shown = 20
	if len(c.problems) == shown {
		c.problems = append(c.problems, "and more")
	}
	if len(c.problems) > shown {
		return
	}
	c.problems = append(c.problems, fmt.Sprintf("line %d: %s: ", c.lines.at(path), path)+fmt.Sprintf(format, args...))
}

// names checks that the names in one list are well formed and unique, and returns
// the index of each.
func (c *checker) names(list string, count int, name func(int) string) map[string]int {
	if count > maxNames {
		c.report(list, "%d entries, at most %d are allowed", count, maxNames)
	}
	seen := make(map[string]int, count)
	for i := range count {
		path := fmt.Sprintf("%s.%d.name", list, i)
		n := name(i)
		if !namePattern.MatchString(n) {
			c.report(path, "%q: names have 1 to 63 lower-case letters, digits, '.', '_' or '-'", n)
		}
		if first, dup := seen[n]; dup {
			c.report(path, "%q is already the name of entry %d", n, first)
			continue
		}
		seen[n] = i
	}
	return seen
}

// check returns the problems found in q, with line numbers from ls.
func check(q *Questionnaire, ls lines) []string {
	c := &checker{lines: ls}
	if !namePattern.MatchString(q.Deployment) {
		c.report("deployment", "%q is not a name", q.Deployment)
	}
	models := c.names("models", len(q.Models), func(i int) string { return q.Models[i].Name })
	adapters := c.names("adapters", len(q.Adapters), func(i int) string { return q.Adapters[i].Name })
	services := c.names("services", len(q.Services), func(i int) string { return q.Services[i].Name })
	targets := c.names("targets", len(q.Targets), func(i int) string { return q.Targets[i].Name })
	classes := c.names("classes", len(q.Classes), func(i int) string { return q.Classes[i].Name })
	c.names("workspaces", len(q.Workspaces), func(i int) string { return q.Workspaces[i].Name })
	c.domains(q)
	c.store(q.Store)
	c.models(q, targets)
	c.adapters(q, models)
	c.services(q, classes)
	c.targets(q, services)
	c.classes(q)
	c.workspaces(q, models, adapters, services)
	return c.problems
}

func (c *checker) domains(q *Questionnaire) {
	if len(q.FailureDomains) == 0 {
		c.report("failure_domains", "at least one is needed")
	}
	c.names("failure_domains", len(q.FailureDomains), func(i int) string { return q.FailureDomains[i] })
}

func (c *checker) store(s Store) {
	if s.LoadsPerSecond <= 0 {
		c.report("store.loads_per_second", "must be above 0")
	}
	if s.FullSpeedLoads < 1 {
		c.report("store.full_speed_loads", "must be at least 1")
	}
	if s.AdapterLoads < 1 {
		c.report("store.adapter_loads", "must be at least 1")
	}
	if s.AdapterLoadLimit <= 0 {
		c.report("store.adapter_load_limit", "must be above 0")
	}
}

func (c *checker) models(q *Questionnaire, targets map[string]int) {
	largest := Size(0)
	for _, t := range q.Targets {
		if t.Kind == KindEngine {
			largest = max(largest, t.Memory-t.KVCache)
		}
	}
	for i, m := range q.Models {
		path := fmt.Sprintf("models.%d", i)
		if m.Size <= 0 {
			c.report(path+".size", "must be above 0")
		}
		if m.Size > largest {
			c.report(path+".size", "%q needs %d bytes, the largest target holds %d", m.Name, m.Size, largest)
		}
		if m.LoadTime <= 0 {
			c.report(path+".load_time", "must be above 0")
		}
		if m.Version == "" {
			c.report(path+".version", "must be given")
		}
		for j, t := range m.Cached {
			if _, ok := targets[t]; !ok {
				c.report(fmt.Sprintf("%s.cached.%d", path, j), "no target is named %q", t)
			}
		}
	}
}

func (c *checker) adapters(q *Questionnaire, models map[string]int) {
	for i, a := range q.Adapters {
		path := fmt.Sprintf("adapters.%d", i)
		if _, clash := models[a.Name]; clash {
			c.report(path+".name", "%q is already the name of a model", a.Name)
		}
		base, ok := models[a.Model]
		if !ok {
			c.report(path+".model", "no model is named %q", a.Model)
			continue
		}
		if a.Size <= 0 {
			c.report(path+".size", "must be above 0")
		}
		if a.Size > q.Models[base].Size {
			c.report(path+".size", "%q is larger than its model", a.Name)
		}
	}
}

func (c *checker) services(q *Questionnaire, classes map[string]int) {
	for i, s := range q.Services {
		seen := map[string]bool{}
		if len(s.Calls) == 0 {
			c.report(fmt.Sprintf("services.%d.calls", i), "at least one call is needed")
		}
		for j, call := range s.Calls {
			path := fmt.Sprintf("services.%d.calls.%d", i, j)
			if call.Path == "" || call.Path[0] == '/' {
				c.report(path+".path", "%q: a path without a leading slash is needed", call.Path)
			}
			if seen[call.Path] {
				c.report(path+".path", "%q stands twice", call.Path)
			}
			seen[call.Path] = true
			if _, ok := classes[call.Class]; !ok {
				c.report(path+".class", "no class is named %q", call.Class)
			}
			if call.Tokens < 1 {
				c.report(path+".tokens", "must be at least 1")
			}
		}
	}
}

func (c *checker) targets(q *Questionnaire, services map[string]int) {
	for i, t := range q.Targets {
		path := fmt.Sprintf("targets.%d", i)
		if !slices.Contains(q.FailureDomains, t.FailureDomain) {
			c.report(path+".failure_domain", "no failure domain is named %q", t.FailureDomain)
		}
		if t.Concurrency < 1 {
			c.report(path+".concurrency", "must be at least 1")
		}
		switch t.Kind {
		case KindEngine:
			c.engine(path, t)
		case KindService:
			if _, ok := services[t.Service]; !ok {
				c.report(path+".service", "no service is named %q", t.Service)
			}
		default:
			c.report(path+".kind", "%q: %s or %s are allowed", t.Kind, KindEngine, KindService)
		}
	}
}

func (c *checker) engine(path string, t Target) {
	if t.Service != "" {
		c.report(path+".service", "an engine belongs to no service")
	}
	if t.Memory <= 0 {
		c.report(path+".memory", "must be above 0")
	}
	if t.KVCache <= 0 || t.KVCache >= t.Memory {
		c.report(path+".kv_cache", "must be above 0 and below the memory")
	}
}

func (c *checker) classes(q *Questionnaire) {
	defaults := 0
	for i, k := range q.Classes {
		path := fmt.Sprintf("classes.%d", i)
		if !slices.Contains([]string{UrgencyInteractive, UrgencyMustFinish, UrgencyByDeadline}, k.Urgency) {
			c.report(path+".urgency", "%q: %s, %s or %s are allowed", k.Urgency, UrgencyInteractive, UrgencyMustFinish, UrgencyByDeadline)
		}
		if k.Deadline <= 0 || k.Deadline > maxDeadline {
			c.report(path+".deadline", "must be above 0 and at most 24h")
		}
		if k.Default {
			defaults++
		}
		if k.Default && !k.Repeatable {
			c.report(path+".default", "the default class must be repeatable")
		}
	}
	if len(q.Models) > 0 && defaults != 1 {
		c.report("classes", "exactly one class must be the default, %d are", defaults)
	}
}

func (c *checker) workspaces(q *Questionnaire, models, adapters, services map[string]int) {
	if len(q.Workspaces) == 0 {
		c.report("workspaces", "at least one is needed")
	}
	for i, w := range q.Workspaces {
		path := fmt.Sprintf("workspaces.%d", i)
		if w.Rate <= 0 || w.Rate > maxRate {
			c.report(path+".rate", "must be above 0 and at most %d tokens a second", maxRate)
		}
		if w.Burst <= 0 || w.Burst > maxRate {
			c.report(path+".burst", "must be above 0 and at most %d tokens", maxRate)
		}
		c.allowed(path+".models", w.Models, models, adapters)
		c.allowed(path+".services", w.Services, services, nil)
	}
}

func (c *checker) allowed(path string, names []string, known, also map[string]int) {
	for j, n := range names {
		_, ok := known[n]
		_, okAlso := also[n]
		if n != wildcard && !ok && !okAlso {
			c.report(fmt.Sprintf("%s.%d", path, j), "%q is not known", n)
		}
	}
}
