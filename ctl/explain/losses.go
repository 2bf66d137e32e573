package explain

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"regexp"
	"slices"
	"time"

	"cowsliptiller/coord/fault"
)

// Loss is the requests that ended unserved for one reason.
type Loss struct {
	Route string
	Kind  fault.Kind
	Cause string // without the names and figures of single requests
	Count int
	// Took is their mean time at the host that answered them.
	Took  time.Duration
	First time.Time
	Last  time.Time
}

// reason tells losses apart.
type reason struct {
	route string
	kind  fault.Kind
	cause string
}

// The parts of a cause that differ between requests lost for the same reason.
var (
	quotedName = regexp.MustCompile(`"[^"]*"`)
	namedThing = regexp.MustCompile(`\b(target|workspace) [^ ,:]+`)
	figure     = regexp.MustCompile(`\d[\d.:]*(ms|µs|s|m|h)?`)
)

// general takes the names and figures of one request out of a cause.
func general(cause string) string {
	cause = quotedName.ReplaceAllString(cause, "…")
	cause = namedThing.ReplaceAllString(cause, "$1 …")
	return figure.ReplaceAllString(cause, "N")
}

// Losses sums up the requests that ended unserved, the most frequent reason first. Each
// such request is logged, so that the counts are whole as far as the logs are.
func Losses(lines []Line) []Loss {
	sums := map[reason]*Loss{}
	for _, l := range lines {
		kind := fault.Kind(l.text("kind"))
		if l.Message != "request_ended" || kind == "" {
			continue
		}
		r := reason{l.text("route"), kind, general(l.text("cause"))}
		if sums[r] == nil {
			sums[r] = &Loss{Route: r.route, Kind: kind, Cause: r.cause, First: l.At, Last: l.At}
		}
		sums[r].add(l)
	}
	out := make([]Loss, 0, len(sums))
	for _, r := range slices.SortedFunc(maps.Keys(sums), compareReasons) {
		loss := *sums[r]
		loss.Took /= time.Duration(loss.Count)
		out = append(out, loss)
	}
	slices.SortStableFunc(out, func(a, b Loss) int { return cmp.Compare(b.Count, a.Count) })
	return out
}

func (l *Loss) add(line Line) {
	l.Count++
	l.Took += time.Duration(line.number("took_ms")) * time.Millisecond
	if line.At.Before(l.First) {
		l.First = line.At
	}
	if line.At.After(l.Last) {
		l.Last = line.At
	}
}

func compareReasons(a, b reason) int {
	return cmp.Or(cmp.Compare(a.route, b.route), cmp.Compare(a.kind, b.kind), cmp.Compare(a.cause, b.cause))
}

// text is a field that is a string, "" where there is none.
func (l Line) text(name string) string {
	var out string
	_ = json.Unmarshal(l.Fields[name], &out) // another type, or no field: empty
	return out
}

// number is a field that is a number, 0 where there is none.
func (l Line) number(name string) int64 {
	var out int64
	_ = json.Unmarshal(l.Fields[name], &out) // another type, or no field: 0
	return out
}

// PrintLosses writes a row for each reason, with its share of all that was lost.
func PrintLosses(w io.Writer, losses []Loss) error {
	all := 0
	for _, l := range losses {
		all += l.Count
	}
	if _, err := fmt.Fprintf(w, "%6s %6s %8s  %-24s  %-18s %-16s %s\n", "count", "share", "took", "from, to (UTC)", "route", "kind", "cause"); err != nil {
		return fault.New(fault.Internal, "output: %v", err)
	}
	for _, l := range losses {
		span := l.First.UTC().Format("15:04:05.0") + " " + l.Last.UTC().Format("15:04:05.0")
		_, err := fmt.Fprintf(w, "%6d %5.1f%% %6dms  %-24s  %-18s %-16s %s\n",
			l.Count, 100*float64(l.Count)/float64(all), l.Took.Milliseconds(), span, l.Route, l.Kind, l.Cause)
		if err != nil {
			return fault.New(fault.Internal, "output: %v", err)
		}
	}
	return nil
}
