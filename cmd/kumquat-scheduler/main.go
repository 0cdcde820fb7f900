// Command kumquat-scheduler is the daemon that runs submissions on the users'
// platform.
package main

import (
	"os"

	"github.com/kumquatstack/kumquatstack/platform"
)

func main() {
	os.Exit(platform.Main(os.Args[1:], os.Stdout, os.Stderr))
}
