// Package status decides what the status of an HTTP answer may say.
//
// A server in trouble may send 000 or any other bytes where its status belongs.
// Such an answer says nothing, neither that a request failed nor that it was
// refused. Package link parses status lines with it; what net/http has read for
// the other clients is checked by it.
package status
