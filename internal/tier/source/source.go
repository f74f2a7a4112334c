package source

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"kumquatreel.example/kumquatreel/internal/base/ident"
	"kumquatreel.example/kumquatreel/internal/tier/mirror"
	"kumquatreel.example/kumquatreel/internal/tier/roster"
	"kumquatreel.example/kumquatreel/internal/tier/table"
)

// ErrCompacted says that a store no longer has the changes that a watch asks for.
var ErrCompacted = errors.New("the store's history is gone")

// Store can be read and watched.
type Store interface {
	// Page returns the items whose keys follow a key, in order; the pages together are not one snapshot, so a watch from
	// the revision of the first must follow.
	Page(ctx context.Context, after string) (Page, error)
	// Watch waits for changes after a revision; it returns none when wait passes without any.
	Watch(ctx context.Context, after int64, wait time.Duration) ([]mirror.Item, int64, error)
}

// Page is a part of what a store holds.
type Page struct {
	Items []mirror.Item
	// AsOf is the store's revision.
	AsOf int64
	// More says that other items follow.
	More bool
}

// Event is what one item says.
type Event interface{ event() }

// TablePublished carries a configuration.
type TablePublished struct{ Text table.Config }

// ServerPublished carries what a backend server says of itself.
type ServerPublished struct{ Entry roster.Entry }

// ServerRemoved says that a backend server's entry was removed or cannot be used.
type ServerRemoved struct{ Server ident.Server }

// DomainOut says that the servers of a failure domain are to get nothing.
type DomainOut struct{ Domain ident.Domain }

// DomainIn says that a failure domain is taken back.
type DomainIn struct{ Domain ident.Domain }

// Ignored is an item that concerns the edge in no way.
type Ignored struct{}

func (TablePublished) event()  {}
func (ServerPublished) event() {}
func (ServerRemoved) event()   {}
func (DomainOut) event()       {}
func (DomainIn) event()        {}
func (Ignored) event()         {}

// Decode turns an item into an event; with an error the event says what still holds.
type Decode func(mirror.Item) (Event, error)
