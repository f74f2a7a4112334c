package status

import (
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
)

const (
	// LineBytes is the length of the part of a status line that Parse needs, up to the byte after the status.
	LineBytes = len("HTTP/1.1 200\n")

	minInterim, minFinal, maxFinal = 100, 200, 599
)

var (
	// ErrBroken is the cause of the errors about answers whose status says nothing.
	ErrBroken = errors.New("answer has no valid status")
	// ErrSpliced is the cause of the errors about heads that hold the beginning of another answer.
	ErrSpliced = errors.New("head of the answer holds another status line")
)

// Final reports whether a status ends a request: 200 to 599.
func Final(code int) bool { return code >= minFinal && code <= maxFinal }

// Interim reports whether another answer follows one with this status: 1xx except 101, which nobody asks for.
func Interim(code int) bool {
	return code >= minInterim && code < minFinal && code != http.StatusSwitchingProtocols
}

// NotRun reports whether a status tells a client that its request has not run and never will: 408, 421, 429 and 503. Clients send such a request
// again even if it may run only once.
func NotRun(code int) bool {
	switch code {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// Parse returns the final or interim status in a line that begins an answer of HTTP/1. The line may be cut off after LineBytes.
func Parse(line []byte) (int, error) {
	const digits = len("HTTP/1.1 ")
	ok := len(line) >= LineBytes && string(line[:len("HTTP/1.")]) == "HTTP/1." && isDigit(line[len("HTTP/1.")]) && line[digits-1] == ' '
	code := 0
	for i := digits; ok && i < digits+3; i++ {
		ok = isDigit(line[i])
		code = 10*code + int(line[i]-'0')
	}
	if ok {
		end := line[digits+3]
		ok = (end == ' ' || end == '\r' || end == '\n') && (Final(code) || Interim(code))
	}
	if !ok {
		return 0, errors.Errorf("status line %q: %w", line, ErrBroken)
	}
	return code, nil
}

// Check returns an error unless a status ends a request. It is for answers that another package has read.
func Check(code int) error {
	if !Final(code) {
		return errors.Errorf("status %03d: %w", code, ErrBroken)
	}
	return nil
}

// CheckHead returns an error unless a head that net/http has read is that of one answer with a valid status. A further status line in it begins the next
// answer: what comes before, such as the status, then belongs to an incomplete one.
func CheckHead(resp *http.Response) error {
	if !Final(resp.StatusCode) && !Interim(resp.StatusCode) {
		return Check(resp.StatusCode)
	}
	if holdsStatusLine(resp.Status) {
		return errors.Errorf("status line %q: %w", resp.Proto+" "+resp.Status, ErrSpliced)
	}
	for name, values := range resp.Header {
		for _, value := range values {
			if holdsStatusLine(value) {
				return errors.Errorf("field %s: %q: %w", name, value, ErrSpliced)
			}
		}
	}
	for name := range resp.Trailer {
		if holdsStatusLine(name) {
			return errors.Errorf("field Trailer: %q: %w", name, ErrSpliced)
		}
	}
	return nil
}

// holdsStatusLine reports whether a status line of HTTP/1 begins within a text.
func holdsStatusLine(text string) bool {
	for {
		_, rest, found := strings.Cut(text, "HTTP/1.")
		if !found {
			return false
		}
		if len(rest) >= len("1 200") && isDigit(rest[0]) && rest[1] == ' ' && isDigit(rest[2]) && isDigit(rest[3]) && isDigit(rest[4]) {
			return true
		}
		text = rest
	}
}

func isDigit(b byte) bool { return b >= '0' && b <= '9' }
