package cli

import "time"

// globalOptions are the options of all commands.
type globalOptions struct {
	Addresses []string      `short:"a" long:"address" env:"KUMQUAT_ADDRESS" env-delim:"," value-name:"IP:PORT" description:"Operators' address of a daemon; if given several times, the addresses are tried in turn" default:"127.0.0.1:7002"`
	Output    string        `short:"o" long:"output" choice:"text" choice:"json" default:"text" description:"Output format"`
	Timeout   time.Duration `long:"timeout" default:"30s" validate:"min=1ms" value-name:"DURATION" description:"Time to wait for the answer of one daemon"`
	Plaintext bool          `long:"plaintext" env:"KUMQUAT_PLAINTEXT" description:"Connect without TLS"`
	TLS       tlsOptions    `group:"TLS Options"`
	DryRun    bool          `long:"dry-run" description:"Write no files and change nothing"`
	Debug     bool          `long:"debug" description:"Log calls and files to the standard error output"`
}

// tlsOptions are the options that name PEM files and the token file.
type tlsOptions struct {
	Certificate string `long:"tls-certificate" env:"KUMQUAT_TLS_CERTIFICATE" value-name:"FILE" description:"Certificate of this operator"`
	Key         string `long:"tls-key" env:"KUMQUAT_TLS_KEY" value-name:"FILE" description:"Key of the certificate"`
	TokenFile   string `long:"token-file" env:"KUMQUAT_TOKEN_FILE" value-name:"FILE" description:"File with this operator's token, in place of a certificate"`
	Authority   string `long:"tls-authority" env:"KUMQUAT_TLS_AUTHORITY" value-name:"FILE" description:"Authority that signs the daemons' certificates"`
}
