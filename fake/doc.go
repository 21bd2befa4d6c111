// Package fake plays what is around controllers on loopback, as the protocol has it: proxies, backends, collectors and
// discovery, and links between any two parties with faults on them. Tests, rehearsals and measurements use it.
//
// A Fleet is all of it. What it does and meets goes to an invariant.Checker. protocol.go has the messages; it alone maps
// the words of the wire to terms of the code.
package fake
