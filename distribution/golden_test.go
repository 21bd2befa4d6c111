package distribution

import (
	"fmt"
	"strings"
	"testing"

	"wheelrill/internal/golden"
)

// Nodes compare digests with each other, so every release must compute the same digest for the same
// entries.
func TestDigestsMatchGoldenFile(t *testing.T) {
	var lines strings.Builder
	store := newStore(Version{Epoch{Number: 3, Identity: 9}, 4}, AllScopes())
	for _, e := range []Entry{
		{},
		{Scope: "pricing", Name: "weight/s-1", Value: []byte("0.5"), Revision: 4, AcceptedAt: 1_764_700_001_234_567},
		{Scope: "pricing", Name: "weight/s-2", Value: make([]byte, 300), Revision: 1 << 40, AcceptedAt: -1},
		{Scope: "orders", Name: "drain/s-3", Revision: 2, Deleted: true, AcceptedAt: 7},
	} {
		digest := entryDigest(e)
		fmt.Fprintf(&lines, "%q %q of revision %d: %016x %016x\n", e.Scope, e.Name, e.Revision, digest.High, digest.Low)
		store.put(e)
	}
	for _, covered := range []Scopes{
		AllScopes(), SomeScopes("pricing"), SomeScopes("orders"), SomeScopes("absent", "pricing"),
	} {
		digest := store.digestFor(covered)
		fmt.Fprintf(&lines, "all %t scopes %q: %016x %016x\n", covered.All, covered.Names, digest.High, digest.Low)
	}
	golden.Compare(t, "digests.golden", lines.String())
}
