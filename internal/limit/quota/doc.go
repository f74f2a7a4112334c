// Package quota holds each team to its rate and burst over the whole fleet.
//
// Every VM keeps one token bucket a team that stands for all VMs: it takes its
// own requests from it at once and those of others when it hears how many they
// have let through. Until it hears, it assumes that each goes on at the rate
// it had. So a team within its rate is never refused for where its requests
// arrive, and one beyond it gets its rate, and once what arrives while news is
// on its way; that is taken off later, since a bucket can owe.
package quota
