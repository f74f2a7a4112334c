// Package sink writes lines, such as those of a log, to a file whose reader may be away or slow.
//
// A Sink takes lines without blocking and writes them in the background. Lines that can't be written are dropped and counted, and once the file takes lines
// again one line says how many were lost. Neither a reader that goes away nor one that never reads can end the process or hold it up.
package sink
