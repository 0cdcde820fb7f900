// Command standin-runner replaces a number of runners in tests.
package main

import (
	"os"

	"github.com/kumquatstack/kumquatstack/internal/standin/runner"
)

func main() {
	os.Exit(runner.Main(os.Args[1:], os.Stdout, os.Stderr))
}
