// Package assign decides which VMs callers are sent to.
//
// Callers that share few VMs make these know the backend servers well: a pause
// is noticed once for all, and few connections serve many requests. So callers
// are sent to the strongest VMs in the failure domains that hold the servers,
// to as many as carry the load with room to spare, and never to so few that
// the loss of one hurts. All VMs give the same answer from the same news.
package assign
