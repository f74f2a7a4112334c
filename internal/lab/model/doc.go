// Package model is a model of the systems served, in virtual time: backend
// servers behind owners, and requests that fan out to them. It drives the same
// decisions as the product, packages fanout and slots, so that a policy can be
// measured exactly and again.
package model
