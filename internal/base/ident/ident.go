package ident

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// VM is the name of an entry VM in the published list.
type VM string

// Process identifies one run of the program on a VM, in the form "vm/incarnation".
type Process string

// Domain is the name of a failure domain.
type Domain string

// Team is the name of a team.
type Team string

// Service is the name of a service.
type Service string

// Server is the name of a backend server.
type Server string

// Route is the name of a route.
type Route string

// Rank returns the candidates ordered by descending rendezvous score for a resource, ties by name. It does not modify its argument.
func Rank[T ~string](resource string, candidates []T) []T {
	type scored struct {
		name  T
		score uint64
	}
	all := make([]scored, 0, len(candidates))
	for _, c := range candidates {
		all = append(all, scored{c, Score(resource, string(c))})
	}
	sort.Slice(all, func(i, j int) bool {
		if all[i].score != all[j].score {
			return all[i].score > all[j].score
		}
		return all[i].name < all[j].name
	})
	out := make([]T, len(all))
	for i, s := range all {
		out[i] = s.name
	}
	return out
}

// Score returns the rendezvous score of a candidate for a resource.
func Score(resource, candidate string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(resource)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(candidate)
	return d.Sum64()
}
