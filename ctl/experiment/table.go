package experiment

import (
	"encoding/csv"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"os"
	"slices"
	"strconv"
	"text/tabwriter"
)

// pair is one seed under both policies.
type pair struct{ plain, own Result }

// Row is one line of the table: what one policy gave over all seeds. Cold-start
// quantiles are over the cold starts of all seeds; the rest are means, but for the
// worst workspace and the promises, which are the worst of all seeds.
type Row struct {
	Deployment, Scenario string
	Scale, Seeds         int
	Plain, Own           Figures
}

// Figures of one policy.
type Figures struct {
	ColdStarts  int
	ColdP50     float64 // seconds
	ColdP95     float64
	ColdP99     float64
	ColdClass   map[string]ColdFigures // the same, by class
	IdleHours   float64
	IdleWeight  float64
	WorstShare  float64 // mean over seeds of the worst workspace's share of what it is owed
	WorstSeed   float64 // the least of them
	RefusedRate float64 // share of requests inside the rate that the rate refused
	RefusedAny  float64 // share of requests inside the rate that were refused for any reason
	Met         map[string]float64
	Lost        int
	Overrun     float64
	Overcommit  int
	Loads       float64
	WrongPlace  float64
}

func summarize(at cell, pairs []pair) Row {
	row := Row{Deployment: at.deployment.Name, Scenario: at.scenario.Name, Scale: at.scale, Seeds: len(pairs)}
	row.Plain = figures(pairs, func(p pair) Result { return p.plain })
	row.Own = figures(pairs, func(p pair) Result { return p.own })
	return row
}

func figures(pairs []pair, of func(pair) Result) Figures {
	f := Figures{Met: map[string]float64{}, ColdClass: coldByClass(pairs, of), WorstSeed: 1}
	var cold []float64
	var inside, byRate, refused int
	classes := map[string]Share{}
	n := float64(len(pairs))
	for _, p := range pairs {
		r := of(p)
		cold = append(cold, r.Cold...)
		f.IdleHours += r.IdleHours / n
		f.IdleWeight += r.IdleWeight / n
		// Capacity is the most that either policy served in time.
		share := r.worstShare(max(p.plain.total(), p.own.total()))
		f.WorstShare += share / n
		f.WorstSeed = min(f.WorstSeed, share)
		inside += r.Inside
		byRate += r.RefusedRate
		refused += r.RefusedRate + r.RefusedOther
		for name, c := range r.Classes {
			sum := classes[name]
			classes[name] = Share{sum.Part + c.Part, sum.Whole + c.Whole}
		}
		f.Lost += r.Lost
		f.Overrun = max(f.Overrun, r.Overrun)
		if r.Overcommit {
			f.Overcommit++
		}
		f.Loads += float64(r.Loads) / n
		f.WrongPlace += float64(r.WrongPlace) / n
	}
	slices.Sort(cold)
	f.ColdStarts = len(cold)
	f.ColdP50, f.ColdP95, f.ColdP99 = quantile(cold, 0.5), quantile(cold, 0.95), quantile(cold, 0.99)
	f.RefusedRate = float64(byRate) / float64(max(1, inside))
	f.RefusedAny = float64(refused) / float64(max(1, inside))
	for name, c := range classes {
		f.Met[name] = float64(c.Part) / float64(max(1, c.Whole))
	}
	return f
}

var header = []string{"deployment", "scale", "scenario", "policy", "cold starts", "p50 s", "p95 s", "p99 s", "idle acc h", "idle mem h",
	"worst share", "(least)", "refused by rate", "refused any", "lookup met", "summary met", "brief met", "loads", "wrong place", "lost", "overrun", "overcommit"}

func (r Row) cells(policy string, f Figures) []string {
	return []string{r.Deployment, strconv.Itoa(r.Scale), r.Scenario, policy, strconv.Itoa(f.ColdStarts),
		number(f.ColdP50, 2), number(f.ColdP95, 2), number(f.ColdP99, 2), number(f.IdleHours, 2), number(f.IdleWeight, 2),
		number(f.WorstShare, 3), number(f.WorstSeed, 3), percent(f.RefusedRate), percent(f.RefusedAny),
		percentOf(f, classLookup), percentOf(f, classReport), percentOf(f, classBrief),
		number(f.Loads, 0), number(f.WrongPlace, 0), strconv.Itoa(f.Lost), number(f.Overrun, 0), strconv.Itoa(f.Overcommit)}
}

func number(v float64, digits int) string {
	if math.IsNaN(v) {
		return "-"
	}
	return strconv.FormatFloat(v, 'f', digits, 64)
}

func percent(v float64) string { return number(100*v, 2) + "%" }

func percentOf(f Figures, class string) string {
	v, ok := f.Met[class]
	if !ok {
		return "-"
	}
	return percent(v)
}

func (r Row) lines() [][]string {
	return [][]string{r.cells("plain", r.Plain), r.cells("own", r.Own)}
}

func printTable(out io.Writer, rows []Row) error {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	printLine(t, header)
	for _, r := range rows {
		for _, cells := range r.lines() {
			printLine(t, cells)
		}
	}
	if err := t.Flush(); err != nil {
		return err
	}
	return printCold(out, rows)
}

func printLine(t io.Writer, cells []string) {
	for _, c := range cells {
		_, _ = fmt.Fprint(t, c, "\t")
	}
	_, _ = fmt.Fprintln(t)
}

func printJSON(out io.Writer, rows []Row) error {
	e := json.NewEncoder(out)
	e.SetIndent("", "  ")
	clean := slices.Clone(rows)
	for i := range clean {
		clean[i].Plain.clean()
		clean[i].Own.clean()
	}
	return e.Encode(clean)
}

// clean replaces what JSON cannot hold: quantiles without cold starts become 0.
func (f *Figures) clean() {
	for _, v := range []*float64{&f.ColdP50, &f.ColdP95, &f.ColdP99} {
		if math.IsNaN(*v) {
			*v = 0
		}
	}
}

func (c *Command) files(rows []Row) error {
	if c.CSV != "" {
		if err := writeCSV(c.CSV, rows); err != nil {
			return err
		}
	}
	if c.Plot != "" {
		return writePlot(c.Plot, rows)
	}
	return nil
}

func writeCSV(name string, rows []Row) error {
	f, err := os.Create(name)
	if err != nil {
		return err
	}
	w := csv.NewWriter(f)
	_ = w.Write(header)
	for _, r := range rows {
		_ = w.WriteAll(r.lines())
	}
	w.Flush()
	if err := w.Error(); err != nil {
		_ = f.Close()
		return err
	}
	return f.Close()
}
