package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"sort"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The range of latencies that are told apart, to three digits.
const (
	leastLatency = int64(time.Microsecond)
	mostLatency  = int64(time.Hour)
	digits       = 3
)

// Row sums up the requests of one workspace and one shape.
type Row struct {
	Workspace string         `json:"workspace"`
	Shape     Shape          `json:"shape"`
	Sent      int            `json:"sent"`
	Answered  int            `json:"answered"`
	Refused   map[string]int `json:"refused"` // by error kind
	Broken    int            `json:"broken"`
	Wrong     int            `json:"wrong"`
	Lost      int            `json:"lost"`
	P50MS     float64        `json:"p50_ms"`
	P95MS     float64        `json:"p95_ms"`
	P99MS     float64        `json:"p99_ms"`
	FirstMS   float64        `json:"first_p95_ms"` // to the first byte of the answer
}

// Summary sums up a run.
type Summary struct {
	Rows   []Row   `json:"rows"`
	Sent   int     `json:"sent"`
	Lost   int     `json:"lost"`
	Wrong  int     `json:"wrong"`
	PerSec float64 `json:"answered_per_second"`
	Tokens int64   `json:"tokens"`
}

type rowKey struct {
	workspace string
	shape     Shape
}

type rowData struct {
	row   Row
	whole *hdrhistogram.Histogram
	first *hdrhistogram.Histogram
}

// Summarize builds the report of a run.
func Summarize(outcomes []Outcome, took time.Duration) Summary {
	data := map[rowKey]*rowData{}
	report := Summary{}
	answered := 0
	for _, o := range outcomes {
		key := rowKey{o.Request.Workspace, o.Request.Shape}
		d, ok := data[key]
		if !ok {
			d = newRowData(key)
			data[key] = d
		}
		d.add(o)
		report.Sent++
		report.Tokens += o.Tokens
		switch o.Result {
		case Answered:
			answered++
		case Lost:
			report.Lost++
		case Wrong:
			report.Wrong++
		}
	}
	for _, d := range data {
		report.Rows = append(report.Rows, d.finish())
	}
	sort.Slice(report.Rows, func(i, j int) bool {
		a, b := report.Rows[i], report.Rows[j]
		return a.Workspace < b.Workspace || a.Workspace == b.Workspace && a.Shape < b.Shape
	})
	report.PerSec = float64(answered) / took.Seconds()
	return report
}

func newRowData(key rowKey) *rowData {
	return &rowData{
		row:   Row{Workspace: key.workspace, Shape: key.shape, Refused: map[string]int{}},
		whole: hdrhistogram.New(leastLatency, mostLatency, digits),
		first: hdrhistogram.New(leastLatency, mostLatency, digits),
	}
}

func (d *rowData) add(o Outcome) {
	d.row.Sent++
	switch o.Result {
	case Answered:
		d.row.Answered++
		_ = d.whole.RecordValue(int64(o.Took))
		_ = d.first.RecordValue(int64(o.First))
	case Refused:
		d.row.Refused[o.Kind]++
	case Broken:
		d.row.Broken++
	case Wrong:
		d.row.Wrong++
	case Lost:
		d.row.Lost++
	}
}

func (d *rowData) finish() Row {
	d.row.P50MS = millis(d.whole, 50)
	d.row.P95MS = millis(d.whole, 95)
	d.row.P99MS = millis(d.whole, 99)
	d.row.FirstMS = millis(d.first, 95)
	return d.row
}

func millis(h *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(h.ValueAtPercentile(percentile)) / float64(time.Millisecond)
}

// Write prints the report as a table.
func (r Summary) Write(w io.Writer) {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "WORKSPACE\tSHAPE\tSENT\tANSWERED\tREFUSED\tBROKEN\tWRONG\tLOST\tP50 MS\tP95 MS\tP99 MS\tFIRST P95 MS")
	for _, row := range r.Rows {
		fmt.Fprintf(tw, "%s\t%s\t%d\t%d\t%s\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.1f\n", row.Workspace, row.Shape, row.Sent,
			row.Answered, kinds(row.Refused), row.Broken, row.Wrong, row.Lost, row.P50MS, row.P95MS, row.P99MS, row.FirstMS)
	}
	_ = tw.Flush()
	fmt.Fprintf(w, "sent %d, lost %d, wrong %d, answered %.1f a second\n", r.Sent, r.Lost, r.Wrong, r.PerSec)
}

func kinds(refused map[string]int) string {
	if len(refused) == 0 {
		return "0"
	}
	text := ""
	for _, k := range slices.Sorted(maps.Keys(refused)) {
		text += fmt.Sprintf("%s:%d ", k, refused[k])
	}
	return text[:len(text)-1]
}
