package logs

import (
	"bufio"
	"io"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"
)

const (
	// queueLines bounds the lines that wait for the writer.
	queueLines = 2048
	// lineBudget bounds the lines of one message a second.
	lineBudget = 12
	// flushAfter bounds how long a line stays in the writer's buffer.
	flushAfter  = 200 * time.Millisecond
	writeBuffer = 16 << 10
	// tellEvery is how many flushes pass between two tellings of what was left out: one a second.
	tellEvery = 5
	// timeFormat tells the date too, since logs are read together and later.
	timeFormat = "2006-01-02T15:04:05.000Z07:00"
)

// Log writes lines from any goroutine; use New.
type Log struct {
	inner *log.Logger
	// level is kept here as well, since the inner logger is locked while it writes.
	level log.Level
	out   *bufio.Writer
	lines chan line

	mu       sync.Mutex
	second   int64
	used     map[string]int
	left     map[string]int
	leftFull int
}

type line struct {
	at     time.Time
	level  log.Level
	prefix string
	text   string
	fields []any
}

// New returns a log that writes to w and a function that writes out what waits and stops.
func New(w io.Writer, level log.Level) (*Log, func()) {
	out := bufio.NewWriterSize(w, writeBuffer)
	l := &Log{
		out:   out,
		level: level,
		inner: log.NewWithOptions(out, log.Options{Level: level, Formatter: log.JSONFormatter}),
		lines: make(chan line, queueLines),
		used:  make(map[string]int),
		left:  make(map[string]int),
	}
	done := make(chan struct{})
	stop := make(chan struct{})
	go l.write(stop, done)
	return l, sync.OnceFunc(func() {
		close(stop)
		<-done
	})
}

// Info logs something that is as it should be.
func (l *Log) Info(prefix, text string, fields ...any) { l.put(log.InfoLevel, prefix, text, fields) }

// Warn logs something that needs no action unless it goes on.
func (l *Log) Warn(prefix, text string, fields ...any) { l.put(log.WarnLevel, prefix, text, fields) }

// Error logs something that an operator should look at.
func (l *Log) Error(prefix, text string, fields ...any) { l.put(log.ErrorLevel, prefix, text, fields) }

func (l *Log) put(level log.Level, prefix, text string, fields []any) {
	if l == nil || level < l.level {
		return
	}
	now := time.Now()
	if !l.allow(now, text) {
		return
	}
	select {
	case l.lines <- line{now, level, prefix, text, fields}:
	default:
		l.mu.Lock()
		l.leftFull++
		l.mu.Unlock()
	}
}

func (l *Log) allow(now time.Time, text string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := now.Unix(); s != l.second {
		l.second = s
		clear(l.used)
	}
	l.used[text]++
	if l.used[text] > lineBudget {
		l.left[text]++
		return false
	}
	return true
}

func (l *Log) write(stop, done chan struct{}) {
	defer close(done)
	tick := time.NewTicker(flushAfter)
	defer tick.Stop()
	for flushes := 1; ; {
		select {
		case n := <-l.lines:
			l.emit(n)
		case <-tick.C:
			if flushes%tellEvery == 0 {
				l.tellLeft()
			}
			flushes++
			_ = l.out.Flush()
		case <-stop:
			for len(l.lines) > 0 {
				l.emit(<-l.lines)
			}
			l.tellLeft()
			_ = l.out.Flush()
			return
		}
	}
}

func (l *Log) emit(n line) {
	fields := append([]any{"at", n.at.UTC().Format(timeFormat), "part", n.prefix}, n.fields...)
	l.inner.Log(n.level, n.text, fields...)
}

// tellLeft says how many lines were left out since it last did.
func (l *Log) tellLeft() {
	l.mu.Lock()
	left, full := l.left, l.leftFull
	l.left = make(map[string]int)
	l.leftFull = 0
	l.mu.Unlock()
	for _, text := range slices.Sorted(maps.Keys(left)) {
		l.inner.Log(log.WarnLevel, "log lines left out", "part", "log", "line", text, "count", left[text])
	}
	if full > 0 {
		l.inner.Log(log.WarnLevel, "log lines left out", "part", "log", "line", "any, the queue was full", "count", full)
	}
}
