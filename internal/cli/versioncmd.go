package cli

import (
	"context"
	"io"
	"runtime"
)

// versionCmd prints the version.
type versionCmd struct {
	base
}

// A versionReport names the versions of the tool and its compiler.
type versionReport struct {
	Version string `json:"version"`
	Go      string `json:"go"`
}

func (*versionCmd) run(_ context.Context, a *app) error {
	v := versionReport{Version: Version, Go: runtime.Version()}
	return a.printValue(v, func(w io.Writer) { printf(w, "kumquat %s (%s)\n", v.Version, v.Go) })
}
