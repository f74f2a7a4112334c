// Package mesh runs a VM's agent: it carries exchanges between VMs, reads and
// watches the platform, and answers the rest of the program's questions.
package mesh
