package cli

import (
	"context"
	"io"

	"github.com/kumquatstack/kumquatstack/internal/process/settings"
	"github.com/kumquatstack/kumquatstack/internal/version/declarer"
)

// checkCmd checks documents without calling a daemon.
type checkCmd struct {
	base
	Declarations []string `long:"declarations" value-name:"FILE" description:"Check a declarations file"`
	Intents      []string `long:"intent" value-name:"FILE" description:"Check an intent file, against the declarations if they are given"`
	Settings     []string `long:"settings" value-name:"FILE" description:"Check a daemon's settings file"`
}

// A checkResult lists the files without faults.
type checkResult struct {
	Correct []string `json:"correct"`
}

func (c *checkCmd) run(_ context.Context, a *app) error {
	if len(c.Declarations)+len(c.Intents)+len(c.Settings) == 0 {
		return &usageError{"give --declarations, --intent or --settings"}
	}
	var declared *declarer.Declarations
	result := checkResult{}
	check := func(names []string, parse func(string, []byte) error) error {
		for _, name := range names {
			document, err := a.system.ReadFile(name)
			if err != nil {
				return err
			}
			if err := parse(name, document); err != nil {
				return err
			}
			result.Correct = append(result.Correct, name)
		}
		return nil
	}
	err := check(c.Declarations, func(name string, document []byte) (err error) {
		declared, err = declarer.Parse(name, document)
		return err
	})
	if err != nil {
		return err
	}
	err = check(c.Intents, func(name string, document []byte) error { return checkIntent(declared, name, document) })
	if err != nil {
		return err
	}
	err = check(c.Settings, func(name string, document []byte) error {
		_, err := settings.Parse(name, document)
		return err
	})
	if err != nil {
		return err
	}
	return a.printValue(result, func(w io.Writer) {
		for _, name := range result.Correct {
			printf(w, "%s: correct\n", name)
		}
	})
}

func checkIntent(declared *declarer.Declarations, name string, document []byte) (err error) {
	if declared == nil {
		_, err = declarer.ParseIntent(name, document)
		return err
	}
	_, err = declared.CheckIntent(name, document)
	return err
}
