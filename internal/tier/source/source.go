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

// ErrCompacted is returned by Store.Watch if the store no longer has the changes after the given revision.
var ErrCompacted = errors.New("the store no longer has the requested changes")

// Store is a platform's store of published items.
type Store interface {
	// Page returns the next items whose keys are greater than after, in order of keys. The pages together are not a consistent
	// snapshot, so reading all pages must be followed by a watch from the revision of the first page.
	Page(ctx context.Context, after string) (Page, error)
	// Watch waits for changes after a revision. It returns no changes if none occur within wait, and ErrCompacted if the store no longer
	// has them, or does not have the revision.
	Watch(ctx context.Context, after int64, wait time.Duration) (Batch, error)
}

// Page is a range of the items in a store.
type Page struct {
	Items []mirror.Item
	// AsOf is the revision of the store when it read the page, and Era its era.
	AsOf, Era int64
	// More reports that further items follow.
	More bool
}

// Batch holds changes that are complete up to the revision AsOf of an era.
//
// The era of a store rises when it comes back from an older copy. Its revisions then go back and are given out again, so revisions of
// different eras cannot be compared.
type Batch struct {
	Items     []mirror.Item
	AsOf, Era int64
}

// Event is the meaning of one item.
type Event interface{ event() }

// TablePublished reports a new routing configuration.
type TablePublished struct{ Text table.Config }

// ServerPublished reports the entry of a backend server.
type ServerPublished struct{ Entry roster.Entry }

// ServerRemoved reports that the entry of a backend server was removed or is invalid.
type ServerRemoved struct{ Server ident.Server }

// DomainOut reports that a failure domain is out of service and that its servers must receive no requests.
type DomainOut struct{ Domain ident.Domain }

// DomainIn reports that a failure domain is in service again.
type DomainIn struct{ Domain ident.Domain }

// Ignored is the event of an item that the edge does not use.
type Ignored struct{}

func (TablePublished) event()  {}
func (ServerPublished) event() {}
func (ServerRemoved) event()   {}
func (DomainOut) event()       {}
func (DomainIn) event()        {}
func (Ignored) event()         {}

// Decode converts an item to an event. If it returns an error, the event is still valid and holds what the item stands for as
// far as it is known, such as ServerRemoved for an invalid entry.
type Decode func(mirror.Item) (Event, error)
