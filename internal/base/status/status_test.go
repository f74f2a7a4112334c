package status_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"kumquatreel.example/kumquatreel/internal/base/status"
)

func TestParse(t *testing.T) {
	for code := range 1000 {
		want := code >= 100 && code <= 599 && code != 101
		for _, version := range []string{"HTTP/1.1", "HTTP/1.0"} {
			for _, end := range []string{" OK\r\n", "\r\n", "\n", " "} {
				line := fmt.Sprintf("%s %03d%s", version, code, end)
				got, err := status.Parse([]byte(line))
				if want != (err == nil) || want && got != code {
					t.Errorf("%q: status %d, error %v, want it to be valid: %v", line, got, err, want)
				}
			}
		}
		if err := status.Check(code); (err == nil) != (want && code >= 200) {
			t.Errorf("%d: error %v", code, err)
		}
	}
	for _, line := range []string{"", "\n", "HTTP/1.1 2O0 X\n", "HTTP/1.1 +20 X\n", "HTTP/1.1  200 \n", "HTTP/1.1 2000\n", "HTTP/2.0 200 X\n", "HTTP/1.1\t200 X\n"} {
		_, err := status.Parse([]byte(line))
		if !errors.Is(err, status.ErrBroken) || !strings.Contains(err.Error(), fmt.Sprintf("%q", line)) {
			t.Errorf("%q: error %v, want one that names the line", line, err)
		}
	}
}

func TestNotRun(t *testing.T) {
	for code := range 1000 {
		if want := code == 408 || code == 421 || code == 429 || code == 503; status.NotRun(code) != want {
			t.Errorf("%d: %v, want %v", code, !want, want)
		}
	}
}
