package link

import "sync/atomic"

// Permit ensures that a request is either sent or revoked, but never both. The zero value is ready to use.
type Permit struct{ state atomic.Int32 }

const (
	permitUnused = iota
	permitUsed
	permitRevoked
)

// Revoke prevents the request from being sent. It returns false if the request has already been sent.
func (p *Permit) Revoke() bool {
	return p.state.CompareAndSwap(permitUnused, permitRevoked) || p.state.Load() == permitRevoked
}

// consume reports whether the request may be sent, and prevents it from being revoked if so.
func (p *Permit) consume() bool { return p.state.CompareAndSwap(permitUnused, permitUsed) }
