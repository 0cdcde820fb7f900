package keyvalue

import (
	"io"

	"github.com/kumquatstack/kumquatstack/internal/standin/controller"
)

// Main runs the stand-in program and returns its exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	var options struct {
		Listen string `long:"listen" default:"127.0.0.1:0" description:"IP address and port to listen on"`
	}
	return controller.Main(args, stdout, stderr, &options, &options.Listen, func() []controller.Service {
		return []controller.Service{{Name: "keyvalue", Handler: NewHandler(NewFake())}}
	})
}
