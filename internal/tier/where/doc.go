// Package where holds what a VM answers to an operator who asks where a request would go now, and why.
//
// A Page is filled by package edge with the decisions of a real request, none of which changes any state, and printed by Print.
package where
