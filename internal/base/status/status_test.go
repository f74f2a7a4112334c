package status_test

import (
	"bufio"
	"fmt"
	"net/http"
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

// An incomplete answer followed by another one makes one head of both, whose status is that of the first.
func TestCheckHead(t *testing.T) {
	for _, tc := range []struct {
		name, head string
		want       error
	}{
		{"one answer", "200 OK\r\nVia: HTTP/1.1 proxy, 1.1 other\r\nServer: a HTTP/1.x\r\n", nil},
		{"an interim answer", "103 Early Hints\r\nLink: </x>\r\n", nil},
		{"none", "999 X\r\n", status.ErrBroken},
		{"a status line in the reason", "500 InterHTTP/1.1 200 OK\r\n", status.ErrSpliced},
		{"one after a carriage return", "500 Internal\rHTTP/1.1 200 OK\r\n", status.ErrSpliced},
		{"one in an interim answer", "103 EarlyHTTP/1.0 200\r\n", status.ErrSpliced},
		{"one in a field", "503 Full\r\nX-Not-Run: 1HTTP/1.1 200\r\n", status.ErrSpliced},
		{"one after text like one", "503 Full\r\nX-Not-Run: HTTP/1.HTTP/1.1 200 OK\r\n", status.ErrSpliced},
		{"one in the names of trailers", "200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-SHTTP/1.1 200 OK\r\n", status.ErrSpliced},
	} {
		t.Run(tc.name, func(t *testing.T) {
			resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader("HTTP/1.1 "+tc.head+"\r\n")), nil)
			if err != nil {
				t.Fatal(err)
			}
			_ = resp.Body.Close()
			if err := status.CheckHead(resp); !errors.Is(err, tc.want) {
				t.Errorf("error %v, want %v", err, tc.want)
			}
		})
	}
}

func BenchmarkCheckHead(b *testing.B) {
	resp := &http.Response{StatusCode: http.StatusOK, Status: "200 OK", Header: http.Header{
		"X-Attempt-Id": {"9c41d07be2a35f68"}, "X-Response-Signature": {"3e1b.07.5a2.600.0.c9f2a4d1"}, "Content-Length": {"400"},
		"Content-Type": {"application/octet-stream"}, "Date": {"Tue, 08 Dec 2026 00:00:00 GMT"}, "Keep-Alive": {"timeout=4"}, "X-Server-Load": {"1,0,4"},
	}}
	for b.Loop() {
		if err := status.CheckHead(resp); err != nil {
			b.Fatal(err)
		}
	}
}
