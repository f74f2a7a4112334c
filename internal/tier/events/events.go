package events

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// maxLineBytes is the longest log line that Read accepts, in bytes.
const maxLineBytes = 1 << 20

// contextComponents are the components of the program whose log lines may explain a request although they have no request ID.
var contextComponents = []string{"process", "store", "fleet", "servers", "traffic"}

// Line is one parsed log line.
type Line struct {
	source string
	fields map[string]any
}

// Source returns the name of the log that contains the line.
func (l Line) Source() string { return l.source }

// Message returns the message of the line.
func (l Line) Message() string { return l.Text("msg") }

// Time returns when the line was written, and false if the line has no valid time.
func (l Line) Time() (time.Time, bool) {
	at, err := time.Parse(time.RFC3339Nano, l.Text("at"))
	return at, err == nil
}

// Number returns the value of a field, and false if the field is missing or not a number.
func (l Line) Number(name string) (float64, bool) {
	n, ok := l.fields[name].(float64)
	return n, ok
}

// FieldNames returns the names of the line's fields in alphabetical order.
func (l Line) FieldNames() []string { return slices.Sorted(maps.Keys(l.fields)) }

// Text returns the value of a field, or "" if the field is missing or not a string.
func (l Line) Text(name string) string {
	if s, ok := l.fields[name].(string); ok {
		return s
	}
	return ""
}

// Read parses the log of one source. It skips lines that are not JSON objects and returns their number. If a log collector
// has put the name of a VM before a line, the last word before the JSON object is the source of the line.
func Read(r io.Reader, source string) ([]Line, int, error) {
	var out []Line
	skipped := 0
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for s.Scan() {
		raw, from := s.Text(), source
		if at := strings.IndexByte(raw, '{'); at > 0 {
			if words := strings.Fields(raw[:at]); len(words) > 0 {
				from = words[len(words)-1]
			}
			raw = raw[at:]
		}
		var fields map[string]any
		if err := json.Unmarshal([]byte(raw), &fields); err != nil {
			skipped++
			continue
		}
		out = append(out, Line{source: from, fields: fields})
	}
	if err := s.Err(); err != nil {
		return nil, 0, errors.Errorf("read log %s: %w", source, err)
	}
	return out, skipped, nil
}

// ReadFiles parses log files. The source of a line is the path of its file, unless a name precedes the line as in Read.
func ReadFiles(paths []string) ([]Line, error) {
	var all []Line
	for _, path := range paths {
		f, err := os.Open(path)
		if err != nil {
			return nil, errors.Errorf("open log: %w", err)
		}
		lines, _, err := Read(f, path)
		if err := errors.Join(err, f.Close()); err != nil {
			return nil, errors.Errorf("log %s: %w", path, err)
		}
		all = append(all, lines...)
	}
	return all, nil
}

// Explain sorts lines by time and writes those of a request. Before them it writes the last line of each message that shows
// the state of the request's VM at the time of its first line. It returns an error if no line has the ID of the request.
func Explain(w io.Writer, lines []Line, id string) error {
	slices.SortStableFunc(lines, func(a, b Line) int { return cmp.Compare(a.Text("at"), b.Text("at")) })
	var matched []Line
	for _, l := range lines {
		if l.Text("id") == id {
			matched = append(matched, l)
		}
	}
	if len(matched) == 0 {
		return errors.Newf("no line tells of request %s: it was answered completely and in time, another VM handled it, or its lines were left out (look for %q)", id, "log lines left out")
	}
	for _, l := range precedingContext(lines, matched[0]) {
		if err := write(w, "before", l); err != nil {
			return err
		}
	}
	for _, l := range matched {
		if err := write(w, "request", l); err != nil {
			return err
		}
	}
	return nil
}

// precedingContext returns the last line of each message of contextComponents that has the same source as the given line and is
// not later, in order of time.
func precedingContext(lines []Line, before Line) []Line {
	last := make(map[string]Line)
	for _, l := range lines {
		if l.source == before.source && l.Text("at") <= before.Text("at") && slices.Contains(contextComponents, l.Text("part")) {
			last[l.Text("msg")] = l
		}
	}
	out := slices.Collect(maps.Values(last))
	slices.SortFunc(out, func(a, b Line) int {
		return cmp.Or(cmp.Compare(a.Text("at"), b.Text("at")), cmp.Compare(a.Text("msg"), b.Text("msg")))
	})
	return out
}

func write(w io.Writer, kind string, l Line) error {
	var b strings.Builder
	fmt.Fprintf(&b, "%-7s %s %s %s", kind, l.Text("at"), l.source, l.Text("msg"))
	for _, name := range l.FieldNames() {
		switch name {
		case "at", "msg", "level", "part", "id":
			continue
		}
		fmt.Fprintf(&b, " %s=%v", name, l.fields[name])
	}
	if _, err := fmt.Fprintln(w, b.String()); err != nil {
		return errors.Errorf("write lines of a request: %w", err)
	}
	return nil
}
