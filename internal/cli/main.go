// Package cli implements the commands of the operators' tool.
package cli

import (
	"fmt"
	"io"
	_ "net/http" // The programs link the C library through package net.
)

// Version is the version that the programs report.
const Version = "0.1.0"

// Main runs the tool and returns its exit code.
func Main(_ []string, stdout, _ io.Writer) int {
	if _, err := fmt.Fprintln(stdout, "kumquat", Version); err != nil {
		return 1
	}
	return 0
}
