package decoder

import (
	"bytes"
	"fmt"

	"github.com/kumquatstack/kumquatstack/internal/errs"
)

// Limits on the structure of a document. The YAML parser's memory and time grow
// with the square of the nesting depth and of the number of keys in one mapping.
const (
	maxNesting = 100
	// maxIndent limits the column at which a line's content begins.
	maxIndent = 200
	maxKeys   = 1000
)

// A shape measures the nesting depth and the sizes of the mappings of a document
// without parsing it. It may overestimate both, as it doesn't recognise quotes and
// block scalars.
type shape struct {
	// blocks holds the open block mappings, outermost first.
	blocks []block
	// flows holds the number of commas in each open pair of brackets, outermost
	// first.
	flows []int
}

// A block is an open block mapping: its column and the keys counted so far.
type block struct{ column, keys int }

// checkShape returns the first violation of the limits in a document, or nil.
func checkShape(document []byte) *errs.DocumentProblem {
	var s shape
	number := 0
	for text := range bytes.Lines(document) {
		number++
		if message, accepted := s.measureLine(text); message != "" {
			return &errs.DocumentProblem{Line: number, Message: message, Accepted: accepted}
		}
	}
	return nil
}

// measureLine measures the next line of the document. If the line violates a limit,
// the message is not empty.
func (s *shape) measureLine(text []byte) (message, accepted string) {
	content := bytes.TrimLeft(text, " \t-?:")
	column := len(text) - len(content)
	content = bytes.TrimSpace(content)
	if column > maxIndent {
		return "line is indented too deeply", fmt.Sprintf("up to %d columns", maxIndent)
	}
	if len(content) == 0 || content[0] == '#' {
		return "", ""
	}
	isEntry := bytes.ContainsAny(text[:column], "-?:")
	if s.addKey(column, isEntry) > maxKeys {
		return "block has too many lines", fmt.Sprintf("up to %d keys in a mapping", maxKeys)
	}
	return s.measureBrackets(content)
}

// addKey counts a line in the block mapping that it belongs to, and returns the
// count. An entry of a list begins a new mapping, so that the count starts again.
func (s *shape) addKey(column int, isEntry bool) int {
	for len(s.blocks) > 0 && s.blocks[len(s.blocks)-1].column > column {
		s.blocks = s.blocks[:len(s.blocks)-1]
	}
	last := len(s.blocks) - 1
	if last < 0 || s.blocks[last].column < column {
		s.blocks = append(s.blocks, block{column: column, keys: 1})
		return 1
	}
	if isEntry {
		s.blocks[last].keys = 0
	}
	s.blocks[last].keys++
	return s.blocks[last].keys
}

// measureBrackets measures the mappings and lists in flow style, that is, in brackets,
// in the content of a line. If one violates a limit, the message is not empty.
func (s *shape) measureBrackets(content []byte) (message, accepted string) {
	for _, c := range content {
		last := len(s.flows) - 1
		switch {
		case c == '{' || c == '[':
			s.flows = append(s.flows, 0)
		case (c == '}' || c == ']') && last >= 0:
			s.flows = s.flows[:last]
		case c == ',' && last >= 0:
			s.flows[last]++
		}
		if len(s.flows) > maxNesting {
			return "brackets are nested too deeply", fmt.Sprintf("up to %d", maxNesting)
		}
		if last >= 0 && last < len(s.flows) && s.flows[last] > maxKeys {
			return "pair of brackets has too many entries", fmt.Sprintf("up to %d", maxKeys)
		}
	}
	return "", ""
}
