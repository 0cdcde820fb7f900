package decoder

import (
	"errors"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/kumquatstack/kumquatstack/internal/errs"
)

type sample struct {
	Name  string        `yaml:"name" validate:"required"`
	Count int           `yaml:"count" default:"3" validate:"min=0"`
	Wait  time.Duration `yaml:"wait" default:"2s"`
	Parts []part        `yaml:"parts" validate:"unique=Name,dive"`
}

type part struct {
	Name string `yaml:"name"`
	Size int64  `yaml:"size" default:"7"`
}

func TestDecodeDefaults(t *testing.T) {
	var s sample
	if err := Decode("s.yaml", []byte("name: a\ncount: 0\nparts:\n- name: x\n- {name: y, size: 0}\n"), &s); err != nil {
		t.Fatal(err)
	}
	t.Run("absent", func(t *testing.T) { assertEqual(t, s.Wait, 2*time.Second) })
	t.Run("absent in a list", func(t *testing.T) { assertEqual(t, s.Parts[0].Size, 7) })
	t.Run("zero is kept", func(t *testing.T) { assertEqual(t, s.Count, 0) })
	t.Run("zero is kept in a list", func(t *testing.T) { assertEqual(t, s.Parts[1].Size, 0) })
}

// TestDecodeAnything guards against input that makes the decoder panic, return an
// error without a message, or accept a document that lacks a required key.
func TestDecodeAnything(t *testing.T) {
	pieces := []string{
		"name", "count", "wait", "parts", ":", " ", "\n", "  ", "- ", "[", "]", "{", "}", ",", "1", "x", "2s", "'", "\"",
		"&a", "*a", "<<", "!!int", "|", ">", "#", "---", "...", "~", "null", ".inf", "-", "?", "%", "\t", "\x00", "é",
	}
	rapid.Check(t, func(t *rapid.T) {
		document := ""
		for _, piece := range rapid.SliceOfN(rapid.SampledFrom(pieces), 0, 30).Draw(t, "pieces") {
			document += piece
		}
		var s sample
		err := Decode("s.yaml", []byte(document), &s)
		var faulty *errs.DocumentError
		if err != nil && (!errors.As(err, &faulty) || len(faulty.Problems) == 0 || faulty.Problems[0].Message == "") {
			t.Fatalf("%q: got error %#v", document, err)
		}
		if err == nil && s.Name == "" {
			t.Fatalf("%q: accepted without a name", document)
		}
	})
}

func assertEqual[T comparable](t *testing.T, got, want T) {
	t.Helper()
	if got != want {
		t.Errorf("got %v, want %v", got, want)
	}
}
