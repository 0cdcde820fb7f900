// Command standin-hostlist replaces the platform's list of hosts in tests.
package main

import (
	"os"

	"github.com/kumquatstack/kumquatstack/internal/standin/hostlist"
)

func main() {
	os.Exit(hostlist.Main(os.Args[1:], os.Stdout, os.Stderr))
}
