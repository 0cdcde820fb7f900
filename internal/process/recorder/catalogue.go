package recorder

import (
	"strconv"

	"github.com/apex/log"
)

//go:generate go run ../../cataloguer/generate ../../..

// An Entry describes one kind of event in the catalogue.
type Entry struct {
	Name  string
	Level log.Level
}

// Lookup returns the catalogue's entry of a number. Numbers that the catalogue
// lacks are named after themselves.
func Lookup(number Number) Entry {
	if entry, ok := catalogue[number]; ok {
		return entry
	}
	return Entry{Name: "event" + strconv.Itoa(int(number)), Level: log.InfoLevel}
}
