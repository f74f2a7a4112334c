// Package sample builds the documents, settings and backend server models of
// example deployments, for tests, demonstrations and benchmarks.
package sample
