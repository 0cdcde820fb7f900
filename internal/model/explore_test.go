package model

import (
	"fmt"
	"strings"
	"testing"
)

// maxStates limits an exploration; a model that exceeds it fails its test.
const maxStates = 6_000_000

// An exploration is the result of visiting the reachable states of a model.
type exploration[S comparable] struct {
	states int
	// trace is a shortest path from the start to a forbidden state; it is empty if
	// none was found.
	trace []S
	// complete is whether all reachable states were visited.
	complete bool
}

// explore visits all reachable states breadth first and stops at the first
// forbidden one.
func explore[S comparable](start S, next func(S, func(S)), isForbidden func(S) bool) exploration[S] {
	index := map[S]int32{start: 0}
	states := []S{start}
	parents := []int32{-1}
	for at := 0; at < len(states); at++ {
		if isForbidden(states[at]) {
			return exploration[S]{states: len(states), trace: tracePath(states, parents, at)}
		}
		if len(states) > maxStates {
			return exploration[S]{states: len(states)}
		}
		next(states[at], func(s S) {
			if _, known := index[s]; known {
				return
			}
			index[s] = int32(len(states))
			states = append(states, s)
			parents = append(parents, int32(at))
		})
	}
	return exploration[S]{states: len(states), complete: true}
}

// tracePath returns the states from the start to states[at].
func tracePath[S any](states []S, parents []int32, at int) []S {
	var reversed []S
	for i := int32(at); i >= 0; i = parents[i] {
		reversed = append(reversed, states[i])
	}
	trace := make([]S, 0, len(reversed))
	for i := len(reversed) - 1; i >= 0; i-- {
		trace = append(trace, reversed[i])
	}
	return trace
}

// assertHolds fails the test unless all states were visited and none is forbidden.
func assertHolds[S comparable](t *testing.T, e exploration[S]) {
	t.Helper()
	t.Logf("%d states", e.states)
	if len(e.trace) > 0 {
		t.Errorf("forbidden state reached by\n%s", formatTrace(e.trace))
	} else if !e.complete {
		t.Errorf("exploration incomplete after %d states", e.states)
	}
}

// assertViolated fails the test unless a forbidden state was found. It shows that
// the model notices the absence of a rule.
func assertViolated[S comparable](t *testing.T, e exploration[S]) {
	t.Helper()
	if len(e.trace) == 0 {
		t.Errorf("no forbidden state among %d states; complete: %t", e.states, e.complete)
		return
	}
	t.Logf("forbidden state after %d steps", len(e.trace)-1)
}

// formatTrace returns the states of a trace, one a line.
func formatTrace[S any](trace []S) string {
	var lines []string
	for _, s := range trace {
		lines = append(lines, fmt.Sprintf("%+v", s))
	}
	return strings.Join(lines, "\n")
}
