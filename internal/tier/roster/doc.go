// Package roster tracks the backend servers and determines which of them may receive requests.
//
// Package edge applies the entries and removals that the platform's store
// publishes, in any order. For a short time after its removal a server is
// still used if there is no other, since entries expire while the store is
// unavailable and come back when it returns.
//
// What is known of a server comes from three sources. In order of precedence:
// what it says in its answers to this VM, until another start of it is known;
// its entry in the store; and what other VMs have heard from it, which only
// puts it behind the other servers of its service.
//
// A statement is of one start of the server: the published one, or a later one
// whose entry has not arrived. An answer is of the start that its connection
// was opened to, which may be a later one if the server may have ended before.
// So a statement ends with the start that made it, never with the entry of it.
//
// Load patterns: servers leave or want no more requests while their entries
// say that they are ready, since the store is away or the VM is cut off from it.
package roster
