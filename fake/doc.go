// Package fake implements the parties around the controllers on loopback, speaking the real
// protocol: proxies, backends, collectors and discovery. It also provides links that inject faults
// between any two parties. Tests, rehearsals and measurements use it.
//
// A Fleet holds all these parties. It passes what they do and observe to an invariant.Checker.
// protocol.go defines the messages; it is the only file that maps names on the wire to terms of the
// code.
package fake
