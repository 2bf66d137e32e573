package experiment

import (
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"sync"

	"cowsliptiller/coord/fault"
)

// Command runs the experiments: cowslipctl experiment.
type Command struct {
	Scenarios   []string `long:"scenario" description:"Run this scenario only; may be given more than once. Default: all"`
	Deployments []string `long:"deployment" description:"vaalkop or kyklos; may be given more than once. Default: both"`
	Scales      []int    `long:"scale" description:"Size as a multiple of today's; may be given more than once. Default: 1 and 10"`
	Seeds       int      `long:"seeds" default:"10" description:"Number of seeds"`
	FirstSeed   uint64   `long:"first-seed" default:"1" description:"First seed"`
	Workers     int      `long:"workers" default:"2" description:"Runs at a time"`
	CSV         string   `long:"csv" description:"Also write the table to this file as comma-separated values"`
	Plot        string   `long:"plot" description:"Also write a picture (PNG) of the cold-start tails to this file"`

	Bound bool `long:"bound" description:"Print the least cold starts that any policy could reach, and run nothing"`

	JSON bool      `no-flag:"yes"` // print JSON in place of the table
	Out  io.Writer `no-flag:"yes"` // nil: standard output
}

// Execute runs the command.
func (c *Command) Execute([]string) error {
	plan, err := c.plan()
	if err != nil {
		return err
	}
	out := c.Out
	if out == nil {
		out = os.Stdout
	}
	if c.Bound {
		printBound(out)
		return nil
	}
	rows := c.run(plan)
	if err := c.files(rows); err != nil {
		return err
	}
	if c.JSON {
		return printJSON(out, rows)
	}
	return printTable(out, rows)
}

// cell is one line of the table: a deployment at a size under a scenario.
type cell struct {
	deployment Deployment
	scale      int
	scenario   Scenario
}

func (c *Command) plan() ([]cell, error) {
	if c.Seeds < 1 || c.Workers < 1 {
		return nil, fault.New(fault.InvalidRequest, "--seeds and --workers: at least 1 is needed")
	}
	scales := c.Scales
	if len(scales) == 0 {
		scales = []int{1, 10}
	}
	var cells []cell
	for _, scale := range scales {
		if scale < 1 || scale > 100 {
			return nil, fault.New(fault.InvalidRequest, "--scale %d: 1 to 100 are allowed", scale)
		}
		for _, d := range deployments {
			if len(c.Deployments) > 0 && !slices.Contains(c.Deployments, d.Name) {
				continue
			}
			for _, s := range scenarios {
				if len(c.Scenarios) == 0 || slices.Contains(c.Scenarios, s.Name) {
					cells = append(cells, cell{d, scale, s})
				}
			}
		}
	}
	if len(cells) == 0 {
		return nil, fault.New(fault.InvalidRequest, "no such scenario or deployment; scenarios: %s", strings.Join(scenarioNames(), ", "))
	}
	return cells, nil
}

func scenarioNames() []string {
	var names []string
	for _, s := range scenarios {
		names = append(names, s.Name)
	}
	return names
}

// run plays every cell for every seed under both policies. Runs share nothing, so
// the workers change the time that it takes and not the figures.
func (c *Command) run(cells []cell) []Row {
	rows := make([]Row, len(cells))
	type job struct{ cell, seed int }
	jobs := make(chan job)
	results := make([][]pair, len(cells))
	for i := range results {
		results[i] = make([]pair, c.Seeds)
	}
	var workers sync.WaitGroup
	for range c.Workers {
		workers.Go(func() {
			for j := range jobs {
				at := cells[j.cell]
				d := at.deployment.scaled(at.scale)
				seed := c.FirstSeed + uint64(j.seed)
				results[j.cell][j.seed] = pair{run(d, at.scenario, plain(), seed), run(d, at.scenario, own(), seed)}
			}
		})
	}
	for i := range cells {
		for s := range c.Seeds {
			jobs <- job{i, s}
		}
	}
	close(jobs)
	workers.Wait()
	for i, at := range cells {
		rows[i] = summarize(at, results[i])
	}
	return rows
}

func (r Row) label() string {
	return fmt.Sprintf("%s x%d %s", r.Deployment, r.Scale, r.Scenario)
}
