package distribution

import "slices"

// Scopes is what a subscription covers: all scopes, or those named.
type Scopes struct {
	// All covers every scope, also those that there are none of yet.
	All bool `cbor:"1,keyasint,omitempty"`
	// Names are sorted, each once. They do not count where All is set.
	Names []string `cbor:"2,keyasint,omitempty"`
}

// AllScopes covers every scope; voters have it.
func AllScopes() Scopes { return Scopes{All: true} }

// SomeScopes covers the scopes named, in any order.
func SomeScopes(names ...string) Scopes {
	sorted := slices.Sorted(slices.Values(names))
	return Scopes{Names: slices.Compact(sorted)}
}

// Has tells whether the subscription covers a scope.
func (s Scopes) Has(scope string) bool {
	if s.All {
		return true
	}
	_, found := slices.BinarySearch(s.Names, scope)
	return found
}

// Cover tells whether everything that other covers is covered by s too.
func (s Scopes) Cover(other Scopes) bool {
	if s.All || other.All {
		return s.All
	}
	for _, name := range other.Names {
		if !s.Has(name) {
			return false
		}
	}
	return true
}

// Equal tells whether both cover the same.
func (s Scopes) Equal(other Scopes) bool {
	return s.All == other.All && (s.All || slices.Equal(s.Names, other.Names))
}

// sorted tells whether the names are in order and each there once, as Has relies on.
func (s Scopes) sorted() bool {
	for i := 1; i < len(s.Names); i++ {
		if s.Names[i-1] >= s.Names[i] {
			return false
		}
	}
	return true
}
