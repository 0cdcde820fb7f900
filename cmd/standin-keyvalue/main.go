// Command standin-keyvalue replaces the platform's key-value service in tests.
package main

import (
	"os"

	"github.com/kumquatstack/kumquatstack/internal/standin/keyvalue"
)

func main() {
	os.Exit(keyvalue.Main(os.Args[1:], os.Stdout, os.Stderr))
}
