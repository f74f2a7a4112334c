// Package lease decides on loans of slots and rates between VMs.
//
// A VM that holds a unit lends it for a fixed time to the one VM that needs it.
// The lender counts the loan from when it granted it, by the lower bound of
// elapsed time and with a margin; the borrower counts it from before it asked,
// by the upper bound. A lost message, a cut or a pause can therefore leave a unit
// unused for a while but never used twice.
package lease
