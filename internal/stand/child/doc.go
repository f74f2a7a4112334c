// Package child runs programs under test as child processes. They end with the process that started them, however it ends, and the readers of their
// output may be away or stuck.
package child
