// Command standin-runner takes the place of many runners in tests.
package main

import (
	"os"

	"github.com/kumquatstack/kumquatstack/internal/standin/runner"
)

func main() {
	os.Exit(runner.Main(os.Args[1:], os.Stdout, os.Stderr))
}
