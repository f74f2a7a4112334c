// Package slots decides what the owner of a backend server sends to it and when.
//
// A Machine knows the parts in progress at one backend server and those that
// wait. It sends no more at once than the units that the VM may use, fewer while
// the server is cold or sheds load, orders waiting parts fairly between teams,
// and refuses what can no longer end in time. A server counts as cold after a
// broken connection, under a new incarnation or when it has become slow, until
// enough parts have ended well.
package slots
