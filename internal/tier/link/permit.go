package link

import "sync/atomic"

// Permit decides between sending a request and taking it back; the zero value has done neither.
type Permit struct{ state atomic.Int32 }

const (
	permitOpen = iota
	permitUsed
	permitBack
)

// Revoke reports whether the request has not been sent and never will be.
func (p *Permit) Revoke() bool {
	return p.state.CompareAndSwap(permitOpen, permitBack) || p.state.Load() == permitBack
}

// use reports whether the request may be sent.
func (p *Permit) use() bool { return p.state.CompareAndSwap(permitOpen, permitUsed) }
