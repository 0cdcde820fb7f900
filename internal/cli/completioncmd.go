package cli

import "context"

// completionCmd prints a completion script for a shell.
type completionCmd struct {
	base
	Args struct {
		Shell string `positional-arg-name:"SHELL" choice:"bash" choice:"zsh" description:"bash or zsh"`
	} `positional-args:"yes" required:"yes"`
}

// The scripts call the tool itself, which prints completions if
// GO_FLAGS_COMPLETION is set.
const (
	bashCompletion = `_kumquat() {
	local args=("${COMP_WORDS[@]:1:$COMP_CWORD}")
	local IFS=$'\n'
	COMPREPLY=($(GO_FLAGS_COMPLETION=1 "${COMP_WORDS[0]}" "${args[@]}"))
}
complete -o default -F _kumquat kumquat
`
	zshCompletion = "autoload -U +X bashcompinit && bashcompinit\n" + bashCompletion
)

func (*completionCmd) describe() string {
	return "Print a completion script for a shell. For bash: source <(kumquat completion bash)."
}

func (c *completionCmd) run(_ context.Context, a *app) error {
	switch c.Args.Shell {
	case "bash":
		return a.system.WriteFile("-", []byte(bashCompletion))
	case "zsh":
		return a.system.WriteFile("-", []byte(zshCompletion))
	default:
		return &usageError{"SHELL must be bash or zsh"}
	}
}
