// Package quota limits each team to its rate and burst over the whole fleet.
//
// Every VM keeps one token bucket per team that represents all VMs. It takes
// tokens for its own requests at once, and for those of other VMs when they
// report how many they have admitted. Between reports it assumes that each VM
// continues at its previous rate. A team within its rate is therefore never
// refused because of where its requests arrive. A team above its rate gets its
// rate, plus once what arrives while reports are in transit; that excess is
// deducted later, since a bucket's level can be negative.
//
// Package peers carries the reports between VMs, and package edge admits
// requests by the Limiter.
package quota
