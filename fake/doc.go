// Package fake simulates the environment of controllers on loopback: proxies, backends, collectors
// and discovery, which speak the real protocol. It also provides links that inject faults into the
// connections between any two processes. Tests, rehearsals and measurements use it.
//
// A Fleet holds the proxies, backends, collectors and discovery of a run, and reports their events
// to an invariant.Checker.
// protocol.go defines the messages; it is the only file that maps names on the wire to terms of the
// code.
package fake
