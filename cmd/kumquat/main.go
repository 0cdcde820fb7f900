// Command kumquat is the operators' command-line tool.
package main

import (
	"os"

	"github.com/kumquatstack/kumquatstack/internal/cli"
)

func main() {
	os.Exit(cli.Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}
