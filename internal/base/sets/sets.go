package sets

import (
	"cmp"
	"maps"
	"slices"
)

// Set is a set of comparable values. The zero value is an empty set to which nothing can be added.
type Set[T comparable] map[T]struct{}

// SetOf returns a set of the given values.
func SetOf[T comparable](values ...T) Set[T] {
	s := make(Set[T], len(values))
	for _, v := range values {
		s[v] = struct{}{}
	}
	return s
}

// Add adds v to the set and reports whether it was not in it before.
func (s Set[T]) Add(v T) bool {
	if s.Has(v) {
		return false
	}
	s[v] = struct{}{}
	return true
}

// Has reports whether v is in the set.
func (s Set[T]) Has(v T) bool {
	_, ok := s[v]
	return ok
}

// Clone returns a copy of the set.
func (s Set[T]) Clone() Set[T] { return maps.Clone(s) }

// Sorted returns the values of the set in ascending order.
func Sorted[T cmp.Ordered](s Set[T]) []T { return slices.Sorted(maps.Keys(s)) }
