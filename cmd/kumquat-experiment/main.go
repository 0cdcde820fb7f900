// Command kumquat-experiment compares ways to decide, by measurement.
package main

import (
	"os"

	"github.com/kumquatstack/kumquatstack/internal/experiment"
)

func main() {
	os.Exit(experiment.Main(os.Args[1:], os.Stdout, os.Stderr))
}
