package command

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"net/http"
	"strconv"
	"strings"
	"time"

	"golang.org/x/term"

	"cowsliptiller/coord/fault"
	"cowsliptiller/ctl/load"
	"cowsliptiller/standin/engine"
)

type loadCommand struct {
	base
	Entry       []string          `long:"entry" required:"yes" description:"IP:port of an entry host; give it once for each"`
	Key         map[string]string `long:"key" key-value-delimiter:"=" description:"workspace=key; give it once for each"`
	Model       []string          `long:"model" description:"Model or adapter, the most used first; give it once for each"`
	Mix         map[string]int    `long:"mix" key-value-delimiter:"=" default:"whole=2" default:"stream=6" description:"shape=weight; shapes: whole, stream, service, once"`
	Class       map[string]string `long:"class" key-value-delimiter:"=" description:"shape=class of call"`
	ServicePath string            `long:"service-path" default:"portal/bookings" description:"service/path of a repeatable call"`
	OncePath    string            `long:"once-path" default:"portal/manifests/confirm" description:"service/path of a call that may not be repeated"`
	Rate        float64           `long:"rate" default:"20" description:"Requests a second"`
	Duration    time.Duration     `long:"duration" default:"10s" description:"How long requests are sent"`
	Timeout     time.Duration     `long:"timeout" default:"60s" description:"After which a request counts as lost"`
	MaxTokens   int               `long:"max-tokens" default:"32" description:"Tokens that a completion may generate"`
	Skew        float64           `long:"skew" default:"1" description:"Exponent of the models' popularity; 0: all alike"`
	Seed        uint64            `long:"seed" default:"1" description:"Seed of arrivals and choices"`
	Direct      bool              `long:"direct" description:"The addresses are targets: measure them without cowsliptiller"`
}

func (c *loadCommand) plan() load.Plan {
	p := load.Plan{
		Keys: c.Key, Models: c.Model, ServicePath: c.ServicePath, OncePath: c.OncePath,
		Rate: c.Rate, Duration: c.Duration, Timeout: c.Timeout, MaxTokens: c.MaxTokens,
		Skew: c.Skew, Seed: c.Seed, Direct: c.Direct,
		Mix: map[load.Shape]int{}, Class: map[load.Shape]string{},
	}
	for _, e := range c.Entry {
		p.Entries = append(p.Entries, "http://"+strings.TrimPrefix(e, "http://"))
	}
	for shape, weight := range c.Mix {
		p.Mix[load.Shape(shape)] = weight
	}
	for shape, class := range c.Class {
		p.Class[load.Shape(shape)] = class
	}
	if c.Direct && len(p.Keys) == 0 {
		p.Keys = map[string]string{"direct": ""}
	}
	return p
}

// Execute implements flags.Commander.
func (c *loadCommand) Execute([]string) error {
	start := time.Now()
	outcomes, err := load.Run(c.app.ctx, c.plan(), c.progress())
	if err != nil {
		return err
	}
	report := load.Summarize(outcomes, time.Since(start))
	if c.app.JSON {
		return c.app.show(report, "", nil)
	}
	report.Write(c.app.out)
	return nil
}

// progress draws a counter, on a terminal only.
func (c *loadCommand) progress() func(done, of int) {
	f, ok := c.app.errOut.(interface{ Fd() uintptr })
	if !ok || !term.IsTerminal(int(f.Fd())) {
		return nil
	}
	return func(done, of int) {
		fmt.Fprintf(c.app.errOut, "\r%d of %d ", done, of)
		if done == of {
			fmt.Fprintln(c.app.errOut)
		}
	}
}

type standin struct {
	base
	Address       string        `long:"address" required:"yes" description:"IP:port to listen on"`
	Name          string        `long:"name" default:"standin" description:"Name of the target"`
	MemoryGiB     float64       `long:"memory-gib" default:"80" description:"Memory for weights and adapters"`
	Concurrency   int           `long:"concurrency" default:"32" description:"Requests it runs at full speed"`
	TokenTime     time.Duration `long:"token-time" default:"2ms" description:"Between two generated tokens"`
	PromptTime    time.Duration `long:"prompt-time" default:"5ms" description:"Before the first token"`
	ReportLag     time.Duration `long:"report-lag" default:"100ms" description:"Age of the load that it reports"`
	RestartTime   time.Duration `long:"restart-time" default:"200ms" description:"How long it is down after a crash"`
	SpeedPercent  float64       `long:"speed-percent" description:"Processing time in percent of the usual one, announced in Server-Load; 0: none is announced"`
	BurstPercent  float64       `long:"burst-percent" description:"The same in bursts of 0.3 to 1 s, 15 % of the time; 0: no bursts"`
	ChecksFencing bool          `long:"checks-fencing" description:"Refuse orders with an old fencing number"`
}

// seedOf gives stand-ins of different names bursts at different times, the same in each run.
func seedOf(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return h.Sum64()
}

// Execute implements flags.Commander. It serves until the process is told to stop.
func (c *standin) Execute([]string) error {
	target := engine.New(engine.Config{
		Name: c.Name, MemoryBytes: int64(c.MemoryGiB * (1 << 30)), Concurrency: c.Concurrency,
		TokenTime: c.TokenTime, PromptTime: c.PromptTime, StatusInterval: c.ReportLag,
		RestartTime: c.RestartTime, ChecksFencing: c.ChecksFencing,
		Speed: engine.Speed{Percent: c.SpeedPercent, BurstPercent: c.BurstPercent, Seed: seedOf(c.Name)},
	})
	server := &http.Server{Addr: c.Address, Handler: target.Handler(), ReadHeaderTimeout: 10 * time.Second}
	stopped := context.AfterFunc(c.app.ctx, func() { _ = server.Close() })
	defer stopped()
	fmt.Fprintln(c.app.errOut, "stand-in target", strconv.Quote(c.Name), "on", c.Address)
	if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return fault.New(fault.InvalidRequest, "--address: %v", err)
	}
	return nil
}
