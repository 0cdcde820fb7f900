package harness

import (
	"testing"

	"github.com/kumquatstack/kumquatstack/internal/version/declarer"
)

func TestDeclarationsOf(t *testing.T) {
	sites := []Site{{DataCentre: "atl-a", Region: "north-ga"}, {DataCentre: "sav-a", Region: "south-ga"}}
	declarations, err := declarer.Parse("declarations", []byte(DeclarationsOf(sites)))
	if err != nil {
		t.Fatal(err)
	}
	if region := declarations.RegionOf("sav-a"); region != "south-ga" {
		t.Errorf("sav-a is in %q", region)
	}
	if len(declarations.Routes) != 3 || declarations.Routes[1].Path != PathIdempotent || !declarations.Routes[1].Idempotent {
		t.Errorf("routes %+v", declarations.Routes)
	}
}
