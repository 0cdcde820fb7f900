// Package model contains small models of the protocols between daemons and the
// store. Its tests check them exhaustively: they visit every interleaving of a
// few daemons' steps with lost and late responses, pauses and lagging clocks,
// and fail if a state violates the protocol's safety property.
package model
