// Package belief describes what one VM believes of the backend servers, the teams, the platform's store and the other VMs, and why a server
// gets no requests.
//
// Package edge fills in a Page and serves it as JSON at its metrics address;
// the command line prints it as tables.
package belief
