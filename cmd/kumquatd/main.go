// Command kumquatd is the daemon that runs on each entry host.
package main

import (
	"os"

	"github.com/kumquatstack/kumquatstack/internal/process/daemon"
)

func main() {
	os.Exit(daemon.Main(os.Args[1:], os.Stdout, os.Stderr))
}
