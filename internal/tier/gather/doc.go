// Package gather decides what happens to one request: where its parts are
// sent, when one is sent a second time, and when the answer is given.
//
// A request to one service is a request with one part. A State is driven with
// events by its owner and returns the sends to make; it does no I/O and takes
// the instant from its caller. Next says when it wants to be driven even if
// nothing happens.
//
// The load it answers is a fan-out over servers that pause at times: a part
// that is late beyond what is usual is sent to another server, and the answer
// is given with what is there when waiting would make it late. A part whose
// servers have no room at the moment waits for it; when more parts lack room
// than may be missing, nothing is sent.
package gather
