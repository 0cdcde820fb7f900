// Command kumquat-experiment runs experiments that measure the system and compare
// alternative policies.
package main

import (
	"os"

	"github.com/kumquatstack/kumquatstack/internal/experiment"
)

func main() {
	os.Exit(experiment.Main(os.Args[1:], os.Stdout, os.Stderr))
}
