package config

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"

	"cowsliptiller/coord/fault"
)

// MaxQuestionnaireBytes bounds a questionnaire: one hundred times the size of
// one that names 300 models and 1,000 adapters one a line.
const MaxQuestionnaireBytes = 8 << 20

// Questionnaire holds an operator's answers, as written.
type Questionnaire struct {
	Deployment     string      `yaml:"deployment"`
	FailureDomains []string    `yaml:"failure_domains"`
	Store          Store       `yaml:"store"`
	Models         []Model     `yaml:"models"`
	Adapters       []Adapter   `yaml:"adapters"`
	Services       []Service   `yaml:"services"`
	Targets        []Target    `yaml:"targets"`
	Classes        []Class     `yaml:"classes"`
	Workspaces     []Workspace `yaml:"workspaces"`
}

// Store describes the weight store that all targets share.
type Store struct {
	LoadsPerSecond   float64 `yaml:"loads_per_second"`
	FullSpeedLoads   int     `yaml:"full_speed_loads"`   // model loads at once before each slows down
	AdapterLoads     int     `yaml:"adapter_loads"`      // adapter loads in flight before each slows down
	AdapterLoadLimit Span    `yaml:"adapter_load_limit"` // the longest an adapter load takes at full speed
}

// Model is one set of weights that an engine can load.
type Model struct {
	Name     string   `yaml:"name"`
	Version  string   `yaml:"version"`
	Size     Size     `yaml:"size"`
	LoadTime Span     `yaml:"load_time"` // from the store at full speed
	Cached   []string `yaml:"cached"`    // targets whose host has the checkpoint on disk
}

// Adapter is a small set of weights on top of a model.
type Adapter struct {
	Name  string `yaml:"name"`
	Model string `yaml:"model"`
	Size  Size   `yaml:"size"`
}

// Service is a plain service beside the model engines.
type Service struct {
	Name  string `yaml:"name"`
	Calls []Call `yaml:"calls"`
}

// Call maps a path of a service to a class of call and a price.
type Call struct {
	Path   string `yaml:"path"` // exact, without a leading slash
	Class  string `yaml:"class"`
	Tokens int64  `yaml:"tokens"` // charged to the workspace for each call
}

// Kinds of target.
const (
	KindEngine  = "engine"
	KindService = "service"
)

// Target is a back end: a model engine or a replica of a plain service.
type Target struct {
	Name          string `yaml:"name"`
	Kind          string `yaml:"kind"`
	Service       string `yaml:"service"` // plain services only
	FailureDomain string `yaml:"failure_domain"`
	Memory        Size   `yaml:"memory"`
	KVCache       Size   `yaml:"kv_cache"`       // part of the memory kept for the KV cache
	Concurrency   int    `yaml:"concurrency"`    // requests that it runs at once at full speed
	ChecksFencing bool   `yaml:"checks_fencing"` // refuses orders with an old fencing number
}

// Urgencies of a class of call.
const (
	UrgencyInteractive = "interactive" // a person waits
	UrgencyMustFinish  = "must_finish" // answered fully, even if slowly
	UrgencyByDeadline  = "by_deadline" // whole before a time
)

// Class is a class of call.
type Class struct {
	Name       string `yaml:"name"`
	Urgency    string `yaml:"urgency"`
	Deadline   Span   `yaml:"deadline"`
	Repeatable bool   `yaml:"repeatable"`
	Default    bool   `yaml:"default"` // for model calls that name no class
}

// Workspace is a customer: callers with keys, and a rate and a burst in tokens.
type Workspace struct {
	Name     string   `yaml:"name"`
	Rate     int64    `yaml:"rate"`     // tokens a second over the fleet
	Burst    int64    `yaml:"burst"`    // tokens
	Models   []string `yaml:"models"`   // "*" for all
	Services []string `yaml:"services"` // "*" for all
}

// Span is a duration written as 250ms, 8s or 2m.
type Span time.Duration

// UnmarshalYAML reads a duration with its unit.
func (s *Span) UnmarshalYAML(n *yaml.Node) error {
	d, err := time.ParseDuration(n.Value)
	if err != nil {
		return fmt.Errorf("line %d: %q is not a duration such as 250ms or 8s", n.Line, n.Value)
	}
	*s = Span(d)
	return nil
}

// Size is a number of bytes written as 40MiB or 14GiB.
type Size int64

var sizeUnits = []struct {
	suffix string
	bytes  float64
}{{"TiB", 1 << 40}, {"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10}, {"B", 1}}

// UnmarshalYAML reads a size with its unit.
func (s *Size) UnmarshalYAML(n *yaml.Node) error {
	for _, u := range sizeUnits {
		number, found := strings.CutSuffix(n.Value, u.suffix)
		if !found {
			continue
		}
		f, err := strconv.ParseFloat(strings.TrimSpace(number), 64)
		if err != nil || f < 0 || f*u.bytes > 1<<62 {
			break
		}
		*s = Size(f * u.bytes)
		return nil
	}
	return fmt.Errorf("line %d: %q is not a size such as 40MiB or 14GiB", n.Line, n.Value)
}

// Parse reads a questionnaire strictly and checks it. Every complaint names its
// line; an error leaves nothing changed.
func Parse(text []byte) (*Questionnaire, error) {
	if len(text) > MaxQuestionnaireBytes {
		return nil, fault.New(fault.TooLarge, "questionnaire has %d bytes, at most %d are read", len(text), MaxQuestionnaireBytes)
	}
	var q Questionnaire
	dec := yaml.NewDecoder(bytes.NewReader(text))
	dec.KnownFields(true)
	if err := dec.Decode(&q); err != nil {
		if errors.Is(err, io.EOF) {
			return nil, fault.New(fault.InvalidRequest, "questionnaire is empty")
		}
		return nil, fault.New(fault.InvalidRequest, "questionnaire: %s", strings.TrimPrefix(err.Error(), "yaml: "))
	}
	if err := dec.Decode(new(yaml.Node)); !errors.Is(err, io.EOF) {
		return nil, fault.New(fault.InvalidRequest, "questionnaire: more than one document")
	}
	if len(check(&q, nil)) == 0 {
		return &q, nil
	}
	// The text is read once more only to tell the lines of what is wrong.
	return nil, fault.New(fault.InvalidRequest, "questionnaire: %s", strings.Join(check(&q, locate(text)), "; "))
}
