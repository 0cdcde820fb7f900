package configurer

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/kumquatstack/kumquatstack/internal/process/recorder"
	"github.com/kumquatstack/kumquatstack/internal/process/watcher"
	"github.com/kumquatstack/kumquatstack/internal/standin/keyvalue"
)

// documentOf returns a document that is different for each version.
func documentOf(version int64) []byte {
	return fmt.Appendf(nil, "regions:\n- name: north-ga\n  dataCentres:\n  - name: atl-%d\n", version)
}

// TestConfigurerNeverReverts delivers versions in any order, as the watch and the
// peers may do. An older version must never replace a newer one.
func TestConfigurerNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := keyvalue.NewFake()
		c := New(Settings{Store: store, Watcher: watcher.New(store, Key, recorder.Discard{}), Recorder: recorder.Discard{}})
		newest := int64(0)
		for _, version := range rapid.SliceOf(rapid.Int64Range(1, 20)).Draw(t, "versions") {
			newest = max(newest, version)
			if err := c.activate(version, documentOf(version), "peer"); err != nil {
				t.Fatal(err)
			}
			if got, _ := c.VersionAndProofAge(time.Now()); got != newest {
				t.Fatalf("version %d is in force after %d", got, newest)
			}
		}
	})
}
