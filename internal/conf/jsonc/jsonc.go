package jsonc

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/tailscale/hujson"
)

// MaxBytes is the largest text that Decode takes, in bytes.
const MaxBytes = 1 << 20

// Fault is one thing that is wrong with a text.
type Fault struct {
	path string
	line int
	text string
}

// NewFault returns a fault at a JSON pointer, without a line.
func NewFault(path, format string, args ...any) Fault {
	return Fault{path: path, text: fmt.Sprintf(format, args...)}
}

// Path returns the JSON pointer of the fault, empty for the whole text.
func (f Fault) Path() string { return f.path }

// Line returns the line of the fault from 1, or 0 when it is not known.
func (f Fault) Line() int { return f.line }

// String returns line, path and text.
func (f Fault) String() string {
	var b strings.Builder
	if f.line > 0 {
		fmt.Fprintf(&b, "line %d: ", f.line)
	}
	if f.path != "" {
		fmt.Fprintf(&b, "%s: ", f.path)
	}
	b.WriteString(f.text)
	return b.String()
}

// FaultErrors is every fault found in one text and serves as an error.
type FaultErrors []Fault

// Error returns the faults, one a line.
func (f FaultErrors) Error() string {
	lines := make([]string, len(f))
	for i := range f {
		lines[i] = f[i].String()
	}
	return strings.Join(lines, "\n")
}

// Decode fills v from text and returns FaultErrors when the text is malformed, too long or has unknown fields.
func Decode(text []byte, v any) error {
	if len(text) > MaxBytes {
		return FaultErrors{NewFault("", "text has %d bytes, at most %d are taken", len(text), MaxBytes)}
	}
	std, err := hujson.Standardize(bytes.Clone(text))
	if err != nil {
		return FaultErrors{{line: lineOfSyntax(err), text: "malformed: " + err.Error()}}
	}
	dec := json.NewDecoder(bytes.NewReader(std))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return FaultErrors{decodeFault(std, dec, err)}
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return FaultErrors{NewFault("", "text goes on after the first value")}
	}
	return nil
}

// Check decodes text into v, runs check on what it holds, and returns FaultErrors with the line of each fault.
func Check(text []byte, v any, check func() FaultErrors) error {
	if err := Decode(text, v); err != nil {
		return err
	}
	if faults := check(); len(faults) > 0 {
		return Locate(text, faults)
	}
	return nil
}

// Load reads a file and parses what it holds; the error names the file.
func Load(path string, parse func(text []byte) error) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return errors.Errorf("read settings: %w", err)
	}
	if err := parse(text); err != nil {
		return errors.Errorf("settings %s: %w", path, err)
	}
	return nil
}

// Locate adds the lines that belong to the paths of the faults.
func Locate(text []byte, faults FaultErrors) FaultErrors {
	root, err := hujson.Parse(bytes.Clone(text))
	if err != nil {
		return faults
	}
	out := make(FaultErrors, len(faults))
	for i, f := range faults {
		out[i] = f
		if v := root.Find(f.path); v != nil && f.line == 0 && f.path != "" {
			out[i].line = lineAt(text, v.StartOffset)
		}
	}
	return out
}

func decodeFault(std []byte, dec *json.Decoder, err error) Fault {
	text := strings.TrimPrefix(err.Error(), "json: ")
	var wrong *json.UnmarshalTypeError
	if errors.As(err, &wrong) {
		return Fault{
			path: "/" + strings.ReplaceAll(wrong.Field, ".", "/"),
			line: lineAt(std, int(wrong.Offset)),
			text: fmt.Sprintf("%s does not fit here, %s is wanted", wrong.Value, wrong.Type),
		}
	}
	if name, ok := strings.CutPrefix(text, "unknown field "); ok {
		at := bytes.Index(std, []byte(name))
		return Fault{line: lineAt(std, max(0, at)), text: text}
	}
	return Fault{line: lineAt(std, int(dec.InputOffset())), text: text}
}

func lineOfSyntax(err error) int {
	var line, column int
	text := err.Error()
	if at := strings.Index(text, "line "); at >= 0 {
		_, _ = fmt.Sscanf(text[at:], "line %d, column %d", &line, &column)
	}
	return line
}

func lineAt(text []byte, offset int) int {
	offset = min(max(0, offset), len(text))
	return 1 + bytes.Count(text[:offset], []byte("\n"))
}
