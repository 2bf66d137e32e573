package experiment

import (
	"fmt"
	"io"
	"slices"
	"strconv"
	"text/tabwriter"
)

// Cold starts by class. A request without an answer counts with its deadline, so a
// tail over all classes beyond the deadline of an interactive call is made of the
// classes that may wait, and says nothing about people. This table tells them apart.

// ColdFigures are the cold starts of one class over all seeds; times in seconds,
// counted as in Figures.ColdP99.
type ColdFigures struct {
	Starts        int
	P50, P95, P99 float64
	Missed        float64 // share that had no answer
}

// coldClasses lists the classes of call, in the order of the table.
var coldClasses = []string{classLookup, classReport, classBrief}

func coldByClass(pairs []pair, of func(pair) Result) map[string]ColdFigures {
	all := map[string]ColdFigures{}
	for _, class := range coldClasses {
		var waits []float64
		missed := 0
		for _, p := range pairs {
			waits = append(waits, of(p).ColdClass[class]...)
			missed += of(p).ColdMissed[class]
		}
		if len(waits) == 0 {
			continue
		}
		slices.Sort(waits)
		all[class] = ColdFigures{Starts: len(waits), P50: quantile(waits, 0.5), P95: quantile(waits, 0.95), P99: quantile(waits, 0.99),
			Missed: float64(missed) / float64(len(waits))}
	}
	return all
}

var coldHeader = []string{"deployment", "scale", "scenario", "policy", "class", "cold starts", "p50 s", "p95 s", "p99 s", "no answer"}

// coldLines are the lines of the second table, one for each class with cold starts.
func (r Row) coldLines(policy string, f Figures) [][]string {
	var lines [][]string
	for _, class := range coldClasses {
		c, ok := f.ColdClass[class]
		if !ok {
			continue
		}
		lines = append(lines, []string{r.Deployment, strconv.Itoa(r.Scale), r.Scenario, policy, class, strconv.Itoa(c.Starts),
			number(c.P50, 2), number(c.P95, 2), number(c.P99, 2), percent(c.Missed)})
	}
	return lines
}

func printCold(out io.Writer, rows []Row) error {
	_, _ = fmt.Fprintln(out, "\nCold starts by class:")
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	printLine(t, coldHeader)
	for _, r := range rows {
		for _, cells := range slices.Concat(r.coldLines("plain", r.Plain), r.coldLines("own", r.Own)) {
			printLine(t, cells)
		}
	}
	return t.Flush()
}
