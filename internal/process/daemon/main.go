// Package daemon assembles the parts of kumquatd and runs them.
package daemon

import (
	"fmt"
	"io"
	_ "net/http" // The programs link the C library through package net.
)

// Main runs the daemon and returns its exit code.
func Main(_ []string, stdout, _ io.Writer) int {
	if _, err := fmt.Fprintln(stdout, "kumquatd"); err != nil {
		return 1
	}
	return 0
}
