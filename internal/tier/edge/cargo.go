package edge

import (
	"slices"

	"kumquatreel.example/kumquatreel/internal/base/ident"
)

// started records that an attempt at a chosen server has started, which ends by unload.
func (c *chooser) started(s ident.Server) {
	if i := slices.Index(c.chosen, s); i >= 0 {
		c.chosen = slices.Delete(c.chosen, i, i+1)
	}
}

// dropChosen records that no attempt will start at the servers that are still chosen.
func (c *chooser) dropChosen() {
	for _, s := range c.chosen {
		c.unload(s, c.bytes)
	}
	c.chosen = nil
}

// unload records that a request of a number of bytes at a server has ended.
func (d *dispatch) unload(s ident.Server, bytes int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cargo.Release(s, bytes)
}
