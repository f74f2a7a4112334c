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

// lineMost is the longest log line taken, in bytes.
const lineMost = 1 << 20

// surrounding are the lines without a request's id that may explain it.
var surrounding = []string{"process", "store", "fleet", "servers", "traffic"}

// Line is one log line.
type Line struct {
	source string
	fields map[string]any
}

// Source returns the name of the log that the line stands in.
func (l Line) Source() string { return l.source }

// Message returns what the line says.
func (l Line) Message() string { return l.text("msg") }

// Time returns when the line was written, and false when it does not say so.
func (l Line) Time() (time.Time, bool) {
	at, err := time.Parse(time.RFC3339Nano, l.text("at"))
	return at, err == nil
}

// Number returns a field as a number, and false when it is none.
func (l Line) Number(name string) (float64, bool) {
	n, ok := l.fields[name].(float64)
	return n, ok
}

// FieldNames returns the names of the line's fields in order.
func (l Line) FieldNames() []string { return slices.Sorted(maps.Keys(l.fields)) }

// text returns a field as text, empty when it is missing.
func (l Line) text(name string) string {
	if s, ok := l.fields[name].(string); ok {
		return s
	}
	return ""
}

// Read takes the log of one source; lines that are no JSON object are passed over, and their number is returned. Where a
// collector has put the name of a VM before its lines, the last word before each is its source.
func Read(r io.Reader, source string) ([]Line, int, error) {
	var out []Line
	other := 0
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 0, 64<<10), lineMost)
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
			other++
			continue
		}
		out = append(out, Line{source: from, fields: fields})
	}
	if err := s.Err(); err != nil {
		return nil, 0, errors.Errorf("read log %s: %w", source, err)
	}
	return out, other, nil
}

// ReadFiles takes the logs in files; the lines of each have its path as their source.
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

// Explain writes the lines of a request in order of time, and the last line of each kind before it about what its VM believed.
func Explain(w io.Writer, lines []Line, id string) error {
	slices.SortStableFunc(lines, func(a, b Line) int { return cmp.Compare(a.text("at"), b.text("at")) })
	var own []Line
	for _, l := range lines {
		if l.text("id") == id {
			own = append(own, l)
		}
	}
	if len(own) == 0 {
		return errors.Newf("no line tells of request %s: it was answered whole and in time, another VM took it, or its lines were left out (look for %q)", id, "log lines left out")
	}
	for _, l := range background(lines, own[0]) {
		if err := write(w, "before", l); err != nil {
			return err
		}
	}
	for _, l := range own {
		if err := write(w, "request", l); err != nil {
			return err
		}
	}
	return nil
}

// background returns the last line of each message before a line, from the same source, that tells what was believed.
func background(lines []Line, before Line) []Line {
	last := make(map[string]Line)
	for _, l := range lines {
		if l.source == before.source && l.text("at") <= before.text("at") && slices.Contains(surrounding, l.text("part")) {
			last[l.text("msg")] = l
		}
	}
	out := slices.Collect(maps.Values(last))
	slices.SortFunc(out, func(a, b Line) int {
		return cmp.Or(cmp.Compare(a.text("at"), b.text("at")), cmp.Compare(a.text("msg"), b.text("msg")))
	})
	return out
}

func write(w io.Writer, kind string, l Line) error {
	var b strings.Builder
	fmt.Fprintf(&b, "%-7s %s %s %s", kind, l.text("at"), l.source, l.text("msg"))
	for _, name := range l.FieldNames() {
		switch name {
		case "at", "msg", "level", "part", "id":
			continue
		}
		fmt.Fprintf(&b, " %s=%v", name, l.fields[name])
	}
	if _, err := fmt.Fprintln(w, b.String()); err != nil {
		return errors.Errorf("write story: %w", err)
	}
	return nil
}
