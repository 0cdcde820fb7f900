package declarer

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// layouts are the forms in which a data centre may be written as a list entry.
var layouts = []string{
	"- name: %s\n",
	"- name: %s # main hall\n",
	"- name: \"%s\"\n  out: true\n",
	"- out: true # storm\n  name: %s\n",
	"- {name: %s}\n",
	"- {name: %s, out: true}\n",
	"# The next one.\n- name: '%s'\n  # Not now.\n  out: false\n",
	"-   name: %s\n    out: false\n",
	"-\n  name: %s\n",
	"\n- name: %s\n\n",
	"- {\"name\": \"%s\", 'out': true} # Café\n",
	"- name: %s\r\n  out: true\r\n",
}

// drawDocument draws a document with a layout for each data centre, and returns it
// with the names of the data centres.
func drawDocument(t *rapid.T) (document string, names []string) {
	indent := rapid.SampledFrom([]string{"", "  ", "    "}).Draw(t, "indent")
	text := strings.Builder{}
	text.WriteString(rapid.SampledFrom([]string{"", "# Ours.\n", "---\n"}).Draw(t, "head"))
	text.WriteString("regions:\n")
	for region := range rapid.IntRange(1, 3).Draw(t, "regions") {
		fmt.Fprintf(&text, "%s- name: r%d\n%s  dataCentres:\n", indent, region, indent)
		for range rapid.IntRange(1, 3).Draw(t, "dataCentres") {
			name := fmt.Sprintf("dc-%d", len(names))
			names = append(names, name)
			entry := fmt.Sprintf(rapid.SampledFrom(layouts).Draw(t, "layout"), name)
			for _, line := range strings.SplitAfter(entry, "\n") {
				if strings.TrimSpace(line) != "" {
					line = indent + "    " + line
				}
				text.WriteString(line)
			}
		}
	}
	text.WriteString(rapid.SampledFrom([]string{"", "teams: []\n", "# The end.\n", "batch:\n  lease: 20s # long\n"}).Draw(t, "tail"))
	return text.String(), names
}

// TestEditKeepsEverythingElse guards against an edit of the text that damages
// other parts of the document: whatever the layout, only the one data centre may
// change, and every comment must stay.
func TestEditKeepsEverythingElse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		document, names := drawDocument(t)
		before, err := Parse("d.yaml", []byte(document))
		if err != nil {
			t.Fatalf("%v in\n%s", err, document)
		}
		name := rapid.SampledFrom(names).Draw(t, "name")
		out := rapid.Bool().Draw(t, "out")
		edited, err := EditDataCentre([]byte(document), name, out)
		if err != nil {
			t.Fatalf("%v in\n%s", err, document)
		}
		after, err := Parse("d.yaml", edited)
		if err != nil {
			t.Fatalf("%v in\n%s", err, edited)
		}
		if changes := Diff(before.WithDataCentre(name, out), after); len(changes) > 0 {
			t.Fatalf("%v\n%s\nbecame\n%s", changes, document, edited)
		}
		if got, want := strings.Count(string(edited), "#"), strings.Count(document, "#"); got != want {
			t.Fatalf("%d comments of %d\n%s\nbecame\n%s", got, want, document, edited)
		}
	})
}
