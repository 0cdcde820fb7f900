package declarer

import (
	"strings"
	"testing"
)

const commentedDocument = `# Data centres of the fund.
regions:
  - name: north-ga # near the studio
    dataCentres:
      - name: atl-a
      - {name: ath-a, out: false}
  - name: south-ga
    dataCentres:
      - name: sav-a
        # Taken out for the storm.
        out: true
`

func TestEditDataCentre(t *testing.T) {
	for name, c := range map[string]struct {
		dataCentre string
		out        bool
	}{
		"key is absent":     {"atl-a", true},
		"key in flow style": {"ath-a", true},
		"key with comment":  {"sav-a", false},
		"unchanged":         {"sav-a", true},
	} {
		t.Run(name, func(t *testing.T) {
			edited, err := EditDataCentre([]byte(commentedDocument), c.dataCentre, c.out)
			if err != nil {
				t.Fatal(err)
			}
			declared, err := Parse("d.yaml", edited)
			if err != nil {
				t.Fatal(err)
			}
			assertOut(t, declared, c.dataCentre, c.out)
			for _, comment := range []string{"# Data centres of the fund.", "# near the studio", "# Taken out for the storm."} {
				if !strings.Contains(string(edited), comment) {
					t.Errorf("%q is lost:\n%s", comment, edited)
				}
			}
		})
	}
	t.Run("changing back restores the document", func(t *testing.T) {
		out, _ := EditDataCentre([]byte(commentedDocument), "sav-a", false)
		again, err := EditDataCentre(out, "sav-a", true)
		if err != nil {
			t.Fatal(err)
		}
		assertEqual(t, string(again), commentedDocument)
	})
	t.Run("undeclared data centre", func(t *testing.T) {
		if _, err := EditDataCentre([]byte(commentedDocument), "mac-a", true); err == nil || !strings.Contains(err.Error(), "atl-a") {
			t.Errorf("got error %v", err)
		}
	})
}

func TestDiff(t *testing.T) {
	before, err := Parse("d.yaml", []byte(sampleDocument))
	if err != nil {
		t.Fatal(err)
	}
	document := strings.NewReplacer("maxDuration: 2s", "maxDuration: 3s", "- name: atl-a\n      - name: ath-a", "- name: ath-a\n      - name: mac-a").Replace(sampleDocument)
	after, err := Parse("d.yaml", []byte(document))
	if err != nil {
		t.Fatal(err)
	}
	var lines []string
	for _, change := range Diff(before, after) {
		lines = append(lines, change.String())
	}
	assertEqual(t, strings.Join(lines, "\n"), strings.TrimSpace(`
- regions[north-ga].dataCentres[atl-a].name: atl-a
- regions[north-ga].dataCentres[atl-a].out: false
+ regions[north-ga].dataCentres[mac-a].name: mac-a
+ regions[north-ga].dataCentres[mac-a].out: false
~ upstreams[charm-orders].maxDuration: 2s -> 3s`))
}
