package cataloguer

import (
	"path/filepath"
	"reflect"
	"strings"

	"github.com/kumquatstack/kumquatstack/internal/process/settings"
	"github.com/kumquatstack/kumquatstack/internal/version/declarer"
)

const declarationsIntroduction = `# Declarations and intents

Unknown or repeated keys, wrong units, anchors and values out of range are
refused with their line and key; nothing of a faulty document takes effect.
Durations are numbers with a unit, such as ` + "`250ms`" + `. A document has up to 256 KiB.
This page is generated from the code by ` + "`make generate`" + `.

# Declarations
`

const intentIntroduction = `
# Intent

` + "`runNow`" + ` is urgent work, ` + "`runBy`" + ` has to finish by a deadline, ` + "`keepRunning`" + ` runs until
it is cancelled. ` + "`runBy`" + ` needs ` + "`deadline`" + ` or ` + "`within`" + `; ` + "`keepRunning`" + ` has neither, nor
` + "`expectedRun`" + `, which the others need.
`

const settingsIntroduction = `# Settings of a daemon

Settings never change while the daemon runs; everything that may change is in
the [declarations](declarations.md). ` + "`kumquat check --settings FILE`" + ` checks a file.
Addresses are IP numbers with a port. Either all files of ` + "`tls`" + ` are given, or
` + "`plaintext: true`" + `. This page is generated from the code by ` + "`make generate`" + `.
`

// referencePages returns the pages about the keys of declarations and intents, and
// of the daemon's settings.
func referencePages(root string) (declarations, settingsText string, err error) {
	declared, err := readDocs(filepath.Join(root, "internal/version/declarer"))
	if err != nil {
		return "", "", err
	}
	set, err := readDocs(filepath.Join(root, "internal/process/settings"))
	if err != nil {
		return "", "", err
	}
	var page strings.Builder
	page.WriteString(declarationsIntroduction)
	writeKeys(&page, declared, reflect.TypeFor[declarer.Declarations](), "")
	page.WriteString(intentIntroduction)
	writeKeys(&page, declared, reflect.TypeFor[declarer.Intent](), "")
	declarations = page.String()
	page.Reset()
	page.WriteString(settingsIntroduction)
	writeKeys(&page, set, reflect.TypeFor[settings.Settings](), "")
	return declarations, page.String(), nil
}
