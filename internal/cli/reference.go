package cli

import (
	"fmt"
	"strings"

	"github.com/jessevdk/go-flags"
)

// Reference returns the reference of all commands in Markdown.
func Reference() string {
	parser := (&app{}).newParser()
	var page strings.Builder
	page.WriteString("# Commands\n\nThis page is made from the tool's help by `make generate`.\n\n")
	page.WriteString("## Exit codes\n\n| code | meaning |\n|---|---|\n")
	for _, line := range strings.Split(exitCodesHelp, "\n")[1:] {
		code, meaning, _ := strings.Cut(line, " ")
		fmt.Fprintf(&page, "| %s | %s |\n", code, meaning)
	}
	page.WriteString("\nErrors go to the standard error output, with `--output json` as one JSON object\n" +
		"`{\"error\": {\"exitCode\", \"message\", \"what\", \"why\", \"remedy\", \"problems\"}}`.\n")
	page.WriteString("\n## Options of all commands\n")
	for _, group := range parser.Groups() {
		writeGroup(&page, group)
	}
	writeCommands(&page, "kumquat", parser.Commands())
	return page.String()
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
