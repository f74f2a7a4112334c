// Package roster tracks the backend servers and determines which of them may receive requests.
//
// Package edge applies the entries and removals that the platform's store
// publishes, in any order. For a short time after its removal a server is
// still used if there is no other, since entries expire while the store is
// unavailable and come back when it returns.
package roster
