package docs

import (
	"github.com/cockroachdb/errors"

	"kumquatreel.example/kumquatreel/internal/conf/schema"
)

// State holds the documents in force; the zero value holds none.
type State struct {
	catalog *schema.Catalog
	list    *schema.VMs
	refused int64
	reason  error
	// refusedList is the newest refused revision of the list.
	refusedList int64
}

// Catalog returns the configuration in force, or nil.
func (s *State) Catalog() *schema.Catalog { return s.catalog }

// List returns the list of VMs in force, or nil.
func (s *State) List() *schema.VMs { return s.list }

// Revision returns the revision of the configuration in force, zero for none.
func (s *State) Revision() int64 {
	if s.catalog == nil {
		return 0
	}
	return s.catalog.Revision()
}

// ListRevision returns the revision of the list in force, zero for none.
func (s *State) ListRevision() int64 {
	if s.list == nil {
		return 0
	}
	return s.list.Revision()
}

// Refused returns the newest refused revision and the reason, zero if none is newer than the one in force.
func (s *State) Refused() (int64, error) {
	if s.refused <= s.Revision() {
		return 0, nil
	}
	return s.refused, s.reason
}

// LastRead returns the newest revisions of the configuration and of the list that have been read, whether they were refused or not.
func (s *State) LastRead() (configuration, list int64) {
	return max(s.Revision(), s.refused), max(s.ListRevision(), s.refusedList)
}

// UpdateCatalog puts a configuration in force if its revision is newer and it is valid. It reports whether it did, and returns an error
// if a newer configuration is refused as invalid. The newest refused revision is not parsed again.
func (s *State) UpdateCatalog(revision int64, text []byte) (bool, error) {
	if revision <= s.Revision() || revision == s.refused {
		return false, nil
	}
	c, err := schema.Parse(revision, text)
	if err != nil {
		if revision > s.refused {
			s.refused, s.reason = revision, err
		}
		return false, errors.Errorf("configuration, revision %d: %w", revision, err)
	}
	s.catalog = c
	return true, nil
}

// UpdateList puts a list of VMs in force if its revision is newer and it is valid. It reports whether it did, and returns an error if a
// newer list is refused as invalid. The newest refused revision is not parsed again.
func (s *State) UpdateList(revision int64, text []byte) (bool, error) {
	if revision <= s.ListRevision() || revision == s.refusedList {
		return false, nil
	}
	v, err := schema.ParseVMs(revision, text)
	if err != nil {
		s.refusedList = max(s.refusedList, revision)
		return false, errors.Errorf("list of VMs, revision %d: %w", revision, err)
	}
	s.list = v
	return true, nil
}
