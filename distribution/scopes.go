package distribution

import "slices"

// Scopes is the set of scopes that a subscription covers: all scopes, or the named ones.
type Scopes struct {
	// All covers every scope, including scopes that are added later.
	All bool `cbor:"1,keyasint,omitempty"`
	// Names are sorted and unique. They are ignored if All is set.
	Names []string `cbor:"2,keyasint,omitempty"`
}

// AllScopes returns the set of all scopes, which every voter covers.
func AllScopes() Scopes { return Scopes{All: true} }

// SomeScopes returns the set of the named scopes. The names may be in any order and may repeat.
func SomeScopes(names ...string) Scopes {
	sorted := slices.Sorted(slices.Values(names))
	return Scopes{Names: slices.Compact(sorted)}
}

// Has reports whether the set covers a scope.
func (s Scopes) Has(scope string) bool {
	if s.All {
		return true
	}
	_, found := slices.BinarySearch(s.Names, scope)
	return found
}

// Cover reports whether s covers every scope that other covers.
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

// Equal reports whether s and other cover the same scopes.
func (s Scopes) Equal(other Scopes) bool {
	return s.All == other.All && (s.All || slices.Equal(s.Names, other.Names))
}

// sorted reports whether the names are sorted and unique, as the binary search of Has requires.
func (s Scopes) sorted() bool {
	for i := 1; i < len(s.Names); i++ {
		if s.Names[i-1] >= s.Names[i] {
			return false
		}
	}
	return true
}
