// Command standin-worker replaces the agents of a number of workers in tests.
package main

import (
	"os"

	"github.com/kumquatstack/kumquatstack/internal/standin/worker"
)

func main() {
	os.Exit(worker.Main(os.Args[1:], os.Stdout, os.Stderr))
}
