// Package pacer keeps the requests of the fleet to a backend server in need below the limit that the server names.
//
// Such a server names in its answers the rate that it takes from the whole fleet, until an answer no longer names one. The VMs divide
// the rate without messages for each request: a Limiter knows which VMs have clients, gives each of them an equal share as a token bucket, and
// the others little. If the rate is too low to be divided among all of them, only a few share it; all VMs select the same ones by
// rank. Each request takes a token: first attempts, hedges and retries alike.
//
// VMs tell each other what they have heard from a server, so that those without a share learn when its limit ends. Package edge passes
// in answers, reports and requests, and package place passes over the servers without a token.
package pacer
