package errs

import (
	"fmt"
	"strings"
)

// A DocumentProblem is one fault in a YAML document.
type DocumentProblem struct {
	// Line is the line of the fault, counted from 1; zero if the fault has no line.
	Line int `json:"line"`
	// Key is the path of the faulty key, for example "upstreams[0].maxDuration".
	Key string `json:"key"`
	// Message says what is wrong.
	Message string `json:"message"`
	// Accepted describes the accepted values; it may be empty.
	Accepted string `json:"accepted,omitempty"`
}

// A DocumentError reports all faults found in a YAML document. A document with
// faults is rejected as a whole.
type DocumentError struct {
	Name     string            `json:"name"`
	Problems []DocumentProblem `json:"problems"`
}

// Error implements error. It returns one line per problem.
func (e *DocumentError) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, problem := range e.Problems {
		lines = append(lines, e.Name+problem.String())
	}
	return strings.Join(lines, "\n")
}

// String returns the problem as ":line: key: message (accepted: values)".
func (p DocumentProblem) String() string {
	text := fmt.Sprintf(":%d: ", p.Line)
	if p.Key != "" {
		text += p.Key + ": "
	}
	text += p.Message
	if p.Accepted != "" {
		text += " (accepted: " + p.Accepted + ")"
	}
	return text
}
