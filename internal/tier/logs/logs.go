package logs

import (
	"bytes"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/charmbracelet/log"
)

const (
	// maxQueuedLines bounds the lines that wait for the writer; lines beyond it are dropped.
	maxQueuedLines = 2048
	// maxLinesPerSecond bounds the lines with the same message in one second.
	maxLinesPerSecond = 12
	// flushInterval bounds how long a line stays in the write buffer, which is written when it holds writeBufferBytes.
	flushInterval    = 200 * time.Millisecond
	writeBufferBytes = 16 << 10
	// maxFieldBytes is the length to which a text in a line is cut; the stack of a panic fits in part.
	maxFieldBytes = 4 << 10
	// flushesPerReport is the number of flushes between two reports of dropped lines, which makes one report per second.
	flushesPerReport = 5
	// timeFormat includes the date, since several logs are read together and at a later time.
	timeFormat = "2006-01-02T15:04:05.000Z07:00"
)

// Log writes log lines. It is safe for concurrent use; a nil Log drops all lines. Create one with New.
type Log struct {
	inner *log.Logger
	// level duplicates the level of inner, since inner is locked while it writes.
	level log.Level
	w     io.Writer
	// out holds whole lines that are to be written.
	out   *bytes.Buffer
	lines chan line

	mu             sync.Mutex
	second         int64
	counts         map[string]int
	dropped        map[string]int
	droppedByQueue int
}

type line struct {
	at        time.Time
	level     log.Level
	component string
	message   string
	fields    []any
}

// New returns a Log that writes lines of the given level and above to w, whole lines at a time, and a function that writes the queued lines and
// stops the writer.
func New(w io.Writer, level log.Level) (*Log, func()) {
	out := &bytes.Buffer{}
	l := &Log{
		w:       w,
		out:     out,
		level:   level,
		inner:   log.NewWithOptions(out, log.Options{Level: level, Formatter: log.JSONFormatter}),
		lines:   make(chan line, maxQueuedLines),
		counts:  make(map[string]int),
		dropped: make(map[string]int),
	}
	done := make(chan struct{})
	stop := make(chan struct{})
	go l.run(stop, done)
	return l, sync.OnceFunc(func() {
		close(stop)
		<-done
	})
}

// Info logs a normal event. component names the part of the program that logs the event, and fields alternate between keys and values.
func (l *Log) Info(component, message string, fields ...any) {
	l.enqueue(log.InfoLevel, component, message, fields)
}

// Warn logs an event that needs no action unless it persists.
func (l *Log) Warn(component, message string, fields ...any) {
	l.enqueue(log.WarnLevel, component, message, fields)
}

// Error logs an event that an operator should look into.
func (l *Log) Error(component, message string, fields ...any) {
	l.enqueue(log.ErrorLevel, component, message, fields)
}

func (l *Log) enqueue(level log.Level, component, message string, fields []any) {
	if l == nil || level < l.level {
		return
	}
	now := time.Now()
	if !l.allow(now, message) {
		return
	}
	select {
	case l.lines <- line{now, level, component, message, fields}:
	default:
		l.mu.Lock()
		l.droppedByQueue++
		l.mu.Unlock()
	}
}

func (l *Log) allow(now time.Time, message string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := now.Unix(); s != l.second {
		l.second = s
		clear(l.counts)
	}
	l.counts[message]++
	if l.counts[message] > maxLinesPerSecond {
		l.dropped[message]++
		return false
	}
	return true
}

func (l *Log) run(stop, done chan struct{}) {
	defer close(done)
	tick := time.NewTicker(flushInterval)
	defer tick.Stop()
	for flushes := 1; ; {
		select {
		case ln := <-l.lines:
			l.emit(ln)
		case <-tick.C:
			if flushes%flushesPerReport == 0 {
				l.reportDropped()
			}
			flushes++
			l.flush()
		case <-stop:
			for len(l.lines) > 0 {
				l.emit(<-l.lines)
			}
			l.reportDropped()
			l.flush()
			return
		}
	}
}

func (l *Log) emit(ln line) {
	fields := append([]any{"at", ln.at.UTC().Format(timeFormat), "part", ln.component}, ln.fields...)
	for i, f := range fields {
		if text, ok := f.(string); ok && len(text) > maxFieldBytes {
			fields[i] = strings.ToValidUTF8(text[:maxFieldBytes], "") + "..."
		}
	}
	l.inner.Log(ln.level, ln.message, fields...)
	if l.out.Len() >= writeBufferBytes {
		l.flush()
	}
}

func (l *Log) flush() {
	if l.out.Len() == 0 {
		return
	}
	_, _ = l.w.Write(l.out.Bytes())
	l.out.Reset()
}

// LostLines formats a line that says how many lines a writer has lost.
func LostLines(lost int64) []byte {
	var b bytes.Buffer
	log.NewWithOptions(&b, log.Options{Formatter: log.JSONFormatter}).Warn("log lines lost", "at", time.Now().UTC().Format(timeFormat), "part", "log", "count", lost)
	return b.Bytes()
}

// reportDropped logs how many lines were dropped since its last call.
func (l *Log) reportDropped() {
	l.mu.Lock()
	dropped, byQueue := l.dropped, l.droppedByQueue
	l.dropped = make(map[string]int)
	l.droppedByQueue = 0
	l.mu.Unlock()
	for _, message := range slices.Sorted(maps.Keys(dropped)) {
		l.inner.Log(log.WarnLevel, "log lines left out", "part", "log", "line", message, "count", dropped[message])
	}
	if byQueue > 0 {
		l.inner.Log(log.WarnLevel, "log lines left out", "part", "log", "line", "any, the queue was full", "count", byQueue)
	}
}
