package explain

import (
	"bufio"
	"encoding/json"
	"io"
	"strings"
	"time"

	"cowsliptiller/coord/fault"
)

// maxLine bounds one log line, in bytes: ten times the longest that a process writes.
const maxLine = 64 << 10

// Line is one event as a process wrote it.
type Line struct {
	At      time.Time
	Host    string
	Message string
	Request string
	Target  string
	Model   string
	Service string
	// Fields are all others, as they were written.
	Fields map[string]json.RawMessage
}

// leftOut are fields that tell nothing here.
var leftOut = []string{"@module", "@level"}

// Read reads the events of a log. Whatever stands before the first brace of a line is
// left out, as collectors put times and names there. Lines that are no event are
// counted in skipped: other programs write to the same logs.
func Read(r io.Reader) (lines []Line, skipped int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, maxLine), maxLine)
	for scanner.Scan() {
		line, ok := parse(scanner.Text())
		if !ok {
			skipped++
			continue
		}
		lines = append(lines, line)
	}
	if err := scanner.Err(); err != nil {
		return nil, 0, fault.New(fault.InvalidRequest, "log cannot be read: %v", err)
	}
	return lines, skipped, nil
}

func parse(text string) (Line, bool) {
	start := strings.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal([]byte(text[start:]), &fields); err != nil {
		return Line{}, false
	}
	l := Line{
		Message: take(fields, "@message"), Host: take(fields, "host"), Request: take(fields, "request"),
		Target: take(fields, "target"), Model: take(fields, "model"), Service: take(fields, "service"), Fields: fields,
	}
	at, err := time.Parse(time.RFC3339Nano, take(fields, "@timestamp"))
	for _, name := range leftOut {
		delete(fields, name)
	}
	l.At = at
	return l, err == nil && l.Message != ""
}

// take takes a text out of the fields; "" where there is none of that name, or no text.
func take(fields map[string]json.RawMessage, name string) string {
	var text string
	if err := json.Unmarshal(fields[name], &text); err != nil {
		return "" // a field of another type stays among the others
	}
	delete(fields, name)
	return text
}
