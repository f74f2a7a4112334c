// Package guard is a listener that bounds what its clients make the process hold: connections, heads and bodies.
//
// A Keeper shares one budget between the listeners of a process and closes the connections that package hold names. A Conn counts
// what arrives: in the head of a request it bounds the lines and the bytes before net/http parses them, and handlers say through FromContext what follows.
package guard
