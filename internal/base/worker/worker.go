package worker

import (
	"sync"
	"sync/atomic"
)

// Pool runs functions on goroutines that are used again. The zero value keeps none of them.
type Pool struct {
	work    chan func()
	closed  chan struct{}
	maxIdle int32
	idle    atomic.Int32
}

// New returns a pool that keeps up to maxIdle goroutines without work, and a function that ends these. The pool may still be used after
// that; it then keeps none.
func New(maxIdle int) (*Pool, func()) {
	p := &Pool{work: make(chan func()), closed: make(chan struct{}), maxIdle: int32(maxIdle)}
	return p, sync.OnceFunc(func() { close(p.closed) })
}

// Go runs a function at once, like a go statement.
func (p *Pool) Go(f func()) {
	select {
	case p.work <- f:
	default:
		go p.run(f)
	}
}

func (p *Pool) run(f func()) {
	for {
		f()
		if p.idle.Add(1) > p.maxIdle {
			p.idle.Add(-1)
			return
		}
		select {
		case f = <-p.work:
			p.idle.Add(-1)
		case <-p.closed:
			p.idle.Add(-1)
			return
		}
	}
}
