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

// MaxBytes is the maximum size of a text that Decode accepts, in bytes.
const MaxBytes = 1 << 20

// Fault is one fault found in a text.
type Fault struct {
	path string
	line int
	text string
}

// NewFault returns a fault at a JSON pointer, without a line number; Locate adds that.
func NewFault(path, format string, args ...any) Fault {
	return Fault{path: path, text: fmt.Sprintf(format, args...)}
}

// Path returns the JSON pointer of the fault, empty if it concerns the whole text.
func (f Fault) Path() string { return f.path }

// Line returns the line of the fault, counted from 1, or 0 if it is not known.
func (f Fault) Line() int { return f.line }

// String returns the line, the path and the message.
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

// FaultErrors is an error that holds all faults found in one text.
type FaultErrors []Fault

// Error returns the faults, one per line.
func (f FaultErrors) Error() string {
	lines := make([]string, len(f))
	for i := range f {
		lines[i] = f[i].String()
	}
	return strings.Join(lines, "\n")
}

// Decode decodes text into v. It returns FaultErrors if the text is malformed, longer than MaxBytes or has unknown fields.
func Decode(text []byte, v any) error {
	if len(text) > MaxBytes {
		return FaultErrors{NewFault("", "text has %d bytes, at most %d are allowed", len(text), MaxBytes)}
	}
	std, err := hujson.Standardize(bytes.Clone(text))
	if err != nil {
		return FaultErrors{{line: syntaxErrorLine(err), text: "malformed: " + err.Error()}}
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

// Check decodes text into v and calls check, which validates v. It returns the faults as FaultErrors with the line of each.
func Check(text []byte, v any, check func() FaultErrors) error {
	if err := Decode(text, v); err != nil {
		return err
	}
	if faults := check(); len(faults) > 0 {
		return Locate(text, faults)
	}
	return nil
}

// Load reads a settings file and passes its text to parse. An error of parse is wrapped with the path of the file.
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

// Locate returns the faults with the line in text of each one's path.
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
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return Fault{
			path: "/" + strings.ReplaceAll(typeErr.Field, ".", "/"),
			line: lineAt(std, int(typeErr.Offset)),
			text: fmt.Sprintf("got a JSON %s, want a value of type %s", typeErr.Value, typeErr.Type),
		}
	}
	if name, ok := strings.CutPrefix(text, "unknown field "); ok {
		offset := bytes.Index(std, []byte(name))
		return Fault{line: lineAt(std, max(0, offset)), text: text}
	}
	return Fault{line: lineAt(std, int(dec.InputOffset())), text: text}
}

func syntaxErrorLine(err error) int {
	var line, column int
	text := err.Error()
	if index := strings.Index(text, "line "); index >= 0 {
		_, _ = fmt.Sscanf(text[index:], "line %d, column %d", &line, &column)
	}
	return line
}

func lineAt(text []byte, offset int) int {
	offset = min(max(0, offset), len(text))
	return 1 + bytes.Count(text[:offset], []byte("\n"))
}
