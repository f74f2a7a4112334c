package worker_test

import (
	"runtime"
	"sync"
	"testing"
	"time"

	"kumquatreel.example/kumquatreel/internal/base/worker"
)

// eventually waits until a condition holds.
func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !f(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not observed: %s", what)
		}
	}
}

func TestPool(t *testing.T) {
	t.Run("runs functions at the same time, however many", func(*testing.T) {
		p, stop := worker.New(2)
		defer stop()
		var started sync.WaitGroup
		release := make(chan struct{})
		started.Add(50)
		for range 50 {
			p.Go(func() {
				started.Done()
				<-release
			})
		}
		started.Wait()
		close(release)
	})
	t.Run("keeps few goroutines without work, and none in the end", func(t *testing.T) {
		before := runtime.NumGoroutine()
		p, stop := worker.New(3)
		for range 10 {
			var done sync.WaitGroup
			done.Add(20)
			for range 20 {
				p.Go(done.Done)
			}
			done.Wait()
		}
		eventually(t, "at most 3 idle goroutines", func() bool { return runtime.NumGoroutine() <= before+3 })
		stop()
		stop()
		eventually(t, "no goroutine is left", func() bool { return runtime.NumGoroutine() <= before })
		done := make(chan struct{})
		p.Go(func() { close(done) })
		<-done
	})
}
