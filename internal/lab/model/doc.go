// Package model is a discrete-event simulation, in virtual time, of backend
// servers, their owners and the requests that fan out to them. The decisions are
// those of the product's packages fanout, hedge, picker and slots, so that the
// effect of a policy can be measured exactly and reproducibly. Package bench
// runs its measures on it.
package model
