// Package roster knows which backend servers there are and which of them may get work.
//
// It is fed with entries and removals in any order. A removed server may be
// used for a short while when nothing else is left, since entries lapse while
// the platform's store is away and come back when it returns.
package roster
