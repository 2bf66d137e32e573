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

// MaxQuestionnaireBytes is the largest questionnaire that Parse reads: one hundred times
// the size of one with 300 models and 1,000 adapters, each on a line of its own.
const MaxQuestionnaireBytes = 8 << 20

// Questionnaire is the decoded form of the document that an operator writes.
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
	LoadsPerSecond   float64  `yaml:"loads_per_second"`
	FullSpeedLoads   int      `yaml:"full_speed_loads"`   // concurrent model loads above which each slows down
	AdapterLoads     int      `yaml:"adapter_loads"`      // concurrent adapter loads above which each slows down
	AdapterLoadLimit Duration `yaml:"adapter_load_limit"` // longest duration of an adapter load at full speed
}

// Model is one set of weights that an engine can load.
type Model struct {
	Name     string   `yaml:"name"`
	Version  string   `yaml:"version"`
	Size     Size     `yaml:"size"`
	LoadTime Duration `yaml:"load_time"` // from the store at full speed
	Cached   []string `yaml:"cached"`    // targets whose host has the checkpoint on disk
}

// Adapter is a small set of weights on top of a model.
type Adapter struct {
	Name  string `yaml:"name"`
	Model string `yaml:"model"`
	Size  Size   `yaml:"size"`
}

// Service is a plain service: one that runs beside the model engines and holds no models.
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
	KVCache       Size   `yaml:"kv_cache"`       // part of the memory reserved for the KV cache
	Concurrency   int    `yaml:"concurrency"`    // concurrent requests at full speed
	ChecksFencing bool   `yaml:"checks_fencing"` // rejects commands with an old fencing number
}

// Urgencies of a class of call.
const (
	UrgencyInteractive = "interactive" // a user waits for the answer
	UrgencyMustFinish  = "must_finish" // must complete, even if slowly
	UrgencyByDeadline  = "by_deadline" // must complete before a deadline
)

// Class is a class of call: how urgent it is, and whether it may be repeated.
type Class struct {
	Name       string   `yaml:"name"`
	Urgency    string   `yaml:"urgency"`
	Deadline   Duration `yaml:"deadline"`
	Repeatable bool     `yaml:"repeatable"`
	Default    bool     `yaml:"default"` // class of model calls that name none
}

// Workspace is a customer. Its callers present one of its keys and share its rate limit.
type Workspace struct {
	Name     string   `yaml:"name"`
	Rate     int64    `yaml:"rate"`     // tokens per second over the whole fleet
	Burst    int64    `yaml:"burst"`    // tokens
	Models   []string `yaml:"models"`   // "*" for all
	Services []string `yaml:"services"` // "*" for all
}

// Duration is a duration, written with its unit: 250ms, 8s or 2m.
type Duration time.Duration

// UnmarshalYAML parses a duration with its unit.
func (s *Duration) UnmarshalYAML(n *yaml.Node) error {
	d, err := time.ParseDuration(n.Value)
	if err != nil {
		return fmt.Errorf("line %d: %q is not a duration such as 250ms or 8s", n.Line, n.Value)
	}
	*s = Duration(d)
	return nil
}

// Size is a number of bytes, written with its unit: 40MiB or 14GiB.
type Size int64

var sizeUnits = []struct {
	suffix string
	bytes  float64
}{{"TiB", 1 << 40}, {"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10}, {"B", 1}}

// UnmarshalYAML parses a size with its unit.
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

// Parse decodes a questionnaire, rejecting unknown fields, and checks it. It returns
// fault.TooLarge for a text above MaxQuestionnaireBytes, and fault.InvalidRequest for one
// that is malformed or cannot be served; the error lists the problems with their lines.
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
	// The text is parsed again for line numbers only if the check has failed.
	return nil, fault.New(fault.InvalidRequest, "questionnaire: %s", strings.Join(check(&q, nodeLines(text)), "; "))
}
