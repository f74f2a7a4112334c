// Package output provides standard streams for processes under test whose readers are away or never read.
package output
