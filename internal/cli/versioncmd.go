package cli

import (
	"context"
	"io"
	"runtime"

	"github.com/kumquatstack/kumquatstack/internal/versioner"
)

// versionCmd prints the version.
type versionCmd struct {
	base
}

// A versionReport names the versions of the tool and its compiler.
type versionReport struct {
	Version  string `json:"version"`
	Revision string `json:"revision,omitempty"`
	Go       string `json:"go"`
}

func (*versionCmd) run(_ context.Context, a *app) error {
	v := versionReport{Version: versioner.Version, Revision: versioner.Revision(), Go: runtime.Version()}
	return a.printValue(v, func(w io.Writer) { printf(w, "kumquat %s (%s)\n", versioner.Describe(), v.Go) })
}
