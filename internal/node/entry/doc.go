// Package entry serves client requests: it checks keys and rates, plans a
// request, sends its parts to the VMs that own the backend servers, and merges
// their replies into one answer.
package entry
