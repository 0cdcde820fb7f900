package recorder

import (
	"strconv"

	"github.com/apex/log"
)

//go:generate go run ../../cataloguer/generate ../../..

// An Entry is the catalogue's description of a kind of event.
type Entry struct {
	Name  string
	Level log.Level
}

// Lookup returns the catalogue's entry for a number. A number that isn't in the catalogue gets a
// name made of the number, for example "event9999", and the level info.
func Lookup(number Number) Entry {
	if entry, ok := catalogue[number]; ok {
		return entry
	}
	return Entry{Name: "event" + strconv.Itoa(int(number)), Level: log.InfoLevel}
}
