package declarer

import "testing"

func TestDeclarationsDataCentre(t *testing.T) {
	declared := &Declarations{Regions: []Region{{
		Name:        "north-ga",
		DataCentres: []DataCentre{{Name: "atl-a"}, {Name: "ath-a"}},
	}}}
	out := declared.WithDataCentre("atl-a", true)

	t.Run("the copy is out", func(t *testing.T) { assertOut(t, out, "atl-a", true) })
	t.Run("the original is unchanged", func(t *testing.T) { assertOut(t, declared, "atl-a", false) })
	t.Run("other data centres are unchanged", func(t *testing.T) { assertOut(t, out, "ath-a", false) })
	t.Run("an undeclared data centre counts as out", func(t *testing.T) { assertOut(t, out, "sav-a", true) })
}

func assertOut(t *testing.T, d *Declarations, dataCentre string, want bool) {
	t.Helper()
	if got := d.IsOut(dataCentre); got != want {
		t.Errorf("IsOut(%q) = %t, want %t", dataCentre, got, want)
	}
}
