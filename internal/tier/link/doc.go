// Package link sends requests to backend servers over pooled HTTP/1 connections, one request at a time on each.
//
// The edge makes one Call for each attempt; its Result carries a verdict of
// package gather. A connection is closed when its state is in doubt: after a
// late answer to an earlier request, bytes beyond an answer, an answer without
// a length, or when the server closed it while it was idle. The verdict says
// whether the request may have run.
package link
