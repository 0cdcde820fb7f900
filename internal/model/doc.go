// Package model holds small models of the protocols between daemons and the
// store. Its tests explore all interleavings of a few daemons' steps, lost and
// late answers, pauses and drifting clocks, and look for a forbidden state.
package model
