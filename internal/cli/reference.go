package cli

import (
	"fmt"
	"strings"

	"github.com/jessevdk/go-flags"
)

// exitCodesTitle precedes the exit codes in the help of a program.
const exitCodesTitle = "Exit codes:\n"

// Reference returns the reference page of all commands and of the daemon's command
// line, in Markdown.
func Reference(daemon *flags.Parser) string {
	parser := (&app{}).newParser()
	var page strings.Builder
	page.WriteString("# Commands\n\nThis page is generated from the help of `kumquat` and `kumquatd` by `make generate`.\n")
	writeExitCodes(&page, "kumquat", parser)
	page.WriteString("\nErrors go to the standard error output, with `--output json` as one JSON object\n" +
		"`{\"error\": {\"exitCode\", \"message\", \"what\", \"why\", \"remedy\", \"document\", \"problems\"}}`;\n" +
		"a problem has `line`, `key`, `message` and `accepted`. Keys that don't apply are left out.\n" +
		"JSON on the standard output always has the same keys; 64-bit numbers are strings.\n")
	page.WriteString("\n## Options of all commands\n")
	for _, group := range parser.Groups() {
		writeGroup(&page, group)
	}
	writeCommands(&page, "kumquat", parser.Commands())
	text, _, _ := strings.Cut(daemon.LongDescription, "\n\n")
	fmt.Fprintf(&page, "\n## kumquatd\n\n%s\n", text)
	for _, group := range daemon.Groups() {
		writeGroup(&page, group)
	}
	writeExitCodes(&page, "kumquatd", daemon)
	return page.String()
}

// writeExitCodes writes the exit codes that a program's help lists.
func writeExitCodes(page *strings.Builder, program string, parser *flags.Parser) {
	fmt.Fprintf(page, "\n## Exit codes of %s\n\n| code | meaning |\n|---|---|\n", program)
	_, codes, _ := strings.Cut(parser.LongDescription, exitCodesTitle)
	for line := range strings.Lines(codes) {
		code, meaning, _ := strings.Cut(strings.TrimSpace(line), " ")
		fmt.Fprintf(page, "| %s | %s |\n", code, meaning)
	}
}

func writeGroup(page *strings.Builder, group *flags.Group) {
	writeOptions(page, group.Options())
	for _, nested := range group.Groups() {
		writeGroup(page, nested)
	}
}

func writeCommands(page *strings.Builder, parent string, commands []*flags.Command) {
	for _, c := range commands {
		name := parent + " " + c.Name
		usage := name
		for _, arg := range c.Args() {
			usage += " " + arg.Name
		}
		fmt.Fprintf(page, "\n## %s\n\n    %s\n\n%s\n", name, usage, c.LongDescription)
		writeOptions(page, c.Options())
		writeCommands(page, name, c.Commands())
	}
}

func writeOptions(page *strings.Builder, options []*flags.Option) {
	if len(options) == 0 {
		return
	}
	page.WriteString("\n| option | default | meaning |\n|---|---|---|\n")
	for _, option := range options {
		if option.LongName == "help" {
			continue
		}
		name := "`--" + option.LongName + "`"
		if option.ShortName != 0 {
			name = fmt.Sprintf("`-%c`, %s", option.ShortName, name)
		}
		meaning := option.Description
		if len(option.Choices) > 0 {
			meaning += ": " + strings.Join(option.Choices, " or ")
		}
		if option.EnvDefaultKey != "" {
			meaning += " (`$" + option.EnvDefaultKey + "`)"
		}
		fmt.Fprintf(page, "| %s | %s | %s |\n", name, strings.Join(option.Default, ", "), meaning)
	}
}
