package cli

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"strings"
	"text/tabwriter"

	"github.com/jessevdk/go-flags"
	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/kumquatstack/kumquatstack/internal/errs"
)

// outputJSON is the value of --output that selects JSON.
const outputJSON = "json"

// print writes a message to the standard output: as JSON, or as the text that the
// function writes.
func (a *app) print(message proto.Message, text func(io.Writer)) error {
	if a.globals.Output != outputJSON {
		return a.printText(text)
	}
	data, err := marshalMessage(message)
	if err != nil {
		return err
	}
	return a.system.WriteFile("-", data)
}

// printValue writes a value to the standard output: as JSON, or as the text that
// the function writes.
func (a *app) printValue(value any, text func(io.Writer)) error {
	if a.globals.Output != outputJSON {
		return a.printText(text)
	}
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return err
	}
	return a.system.WriteFile("-", append(data, '\n'))
}

func (a *app) printText(text func(io.Writer)) error {
	var out bytes.Buffer
	text(&out)
	return a.system.WriteFile("-", out.Bytes())
}

// notice writes a line for the operator to the standard error output, in text mode
// only.
func (a *app) notice(format string, args ...any) {
	if a.globals.Output != outputJSON {
		// A failure of the standard error output can't be reported anywhere.
		_, _ = fmt.Fprintf(a.system.Stderr(), format+"\n", args...)
	}
}

// printDryRun prints what a command would do, such as "would cancel intent x".
func (a *app) printDryRun(format string, args ...any) error {
	text := fmt.Sprintf("would "+format, args...)
	if a.globals.Output == outputJSON {
		return a.printValue(map[string]string{"dryRun": text}, nil)
	}
	a.notice("%s", text)
	return nil
}

// marshalMessage returns a message as indented JSON, with the same bytes for the
// same message. Fields with default values are included.
func marshalMessage(message proto.Message) ([]byte, error) {
	compact, err := protojson.MarshalOptions{EmitDefaultValues: true}.Marshal(message)
	if err != nil {
		return nil, err
	}
	var indented bytes.Buffer
	if err := json.Indent(&indented, compact, "", "  "); err != nil {
		return nil, err
	}
	indented.WriteByte('\n')
	return indented.Bytes(), nil
}

// A table writes aligned columns.
type table struct {
	*tabwriter.Writer
}

func newTable(w io.Writer, columns ...string) table {
	t := table{tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)}
	t.row(columns...)
	return t
}

func (t table) row(cells ...string) {
	// The table writes to a buffer, which can't fail.
	_, _ = fmt.Fprintln(t, strings.Join(cells, "\t"))
}

// printf writes to a buffer, which can't fail.
func printf(w io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(w, format, args...)
}

// An errorReport is the JSON form of an error.
type errorReport struct {
	ExitCode exitCode               `json:"exitCode"`
	Message  string                 `json:"message"`
	What     string                 `json:"what,omitempty"`
	Why      string                 `json:"why,omitempty"`
	Remedy   string                 `json:"remedy,omitempty"`
	Document string                 `json:"document,omitempty"`
	Problems []errs.DocumentProblem `json:"problems,omitempty"`
}

// report returns the description of an error that is printed; help is the command
// line that shows the options.
func report(err error, help string) errorReport {
	var (
		parse       *flags.Error
		usage       *usageError
		file        *fs.PathError
		refused     *errs.RefusedError
		faulty      *errs.DocumentError
		unknown     *errs.UnknownOutcomeError
		unavailable *errs.StoreUnavailableError
		unreachable *unreachableError
		answer      twirp.Error
	)
	r := errorReport{ExitCode: codeOf(err), Message: err.Error()}
	switch {
	case errors.As(err, &unknown):
		r.Message = unknown.Error()
		r.Remedy = "check with kumquat status or kumquat diff whether the change took effect; you may repeat the command in any case: it is idempotent"
	case errors.As(err, &refused):
		r.What, r.Why, r.Remedy = refused.What, refused.Why, refused.Remedy
	case errors.As(err, &faulty):
		r.Document, r.Problems = faulty.Name, faulty.Problems
		r.Message = faulty.Error()
		r.Remedy = "correct the document; nothing of it has taken effect"
	case errors.As(err, &unavailable):
		r.Message = unavailable.Error()
		r.Remedy = "nothing has changed; repeat the command when the store is available again"
	case errors.As(err, &unreachable):
		r.Remedy = "nothing has changed; check --address and that the daemons run"
	case errors.As(err, &answer):
		r.Message = answer.Msg()
	case errors.As(err, &usage):
		r.Message = usage.Error()
		r.Remedy = "see " + help
	case errors.As(err, &parse):
		r.Remedy = "see " + help
	case errors.As(err, &file):
		r.Remedy = "check the path and its permissions"
	}
	return r
}

// printError writes an error to the standard error output.
func (a *app) printError(err error, help string) {
	r := report(err, help)
	var out bytes.Buffer
	switch {
	case r.ExitCode == exitDifferent:
		return
	case a.globals.Output == outputJSON:
		data, marshalErr := json.MarshalIndent(map[string]errorReport{"error": r}, "", "  ")
		if marshalErr != nil {
			data = []byte(r.Message)
		}
		out.Write(append(data, '\n'))
	case r.What != "":
		printf(&out, "kumquat: %s refused\n  why:  %s\n  next: %s\n", r.What, r.Why, r.Remedy)
	default:
		printf(&out, "kumquat: %s\n", strings.TrimPrefix(r.Message, "kumquat: "))
		if r.Remedy != "" {
			printf(&out, "  next: %s\n", r.Remedy)
		}
	}
	// A failure of the standard error output can't be reported anywhere.
	_, _ = a.system.Stderr().Write(out.Bytes())
}
