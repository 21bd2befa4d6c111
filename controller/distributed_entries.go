package controller

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/valyala/fastjson"

	"wheelrill/distribution"
)

// distributedKey is the key of the configuration's object that contains the entries for the voters
// to distribute, by scope, kind and name.
const distributedKey = "distributed"

// readDistributed reads the entries that a configuration distributes, sorted by their keys. It
// returns false if the configuration lacks distributedKey, which leaves the distributed entries
// unchanged. An error names the first unusable key, and what is allowed.
func readDistributed(root *fastjson.Value) (entries []distribution.Entry, ok bool, err error) {
	scopes := root.Get(distributedKey)
	if scopes == nil {
		return nil, false, nil
	}
	r := &distributedReader{}
	r.visit(scopes, distributedKey, func(scope, path string, kinds *fastjson.Value) {
		r.visit(kinds, path, func(kind, path string, names *fastjson.Value) {
			r.visit(names, path, func(name, path string, value *fastjson.Value) {
				r.add(scope, kind, name, path, value)
			})
		})
	})
	slices.SortFunc(r.entries, func(a, b distribution.Entry) int {
		return cmp.Or(cmp.Compare(a.Scope, b.Scope), cmp.Compare(a.Name, b.Name))
	})
	return r.entries, true, r.err
}

// distributedReader collects entries, and the first error among them.
type distributedReader struct {
	entries []distribution.Entry
	err     error
}

// reject records an error about a key, if it is the first error.
func (r *distributedReader) reject(path, format string, args ...any) {
	if r.err == nil {
		r.err = fmt.Errorf("configuration: %s: %s", path, fmt.Sprintf(format, args...))
	}
}

// visit calls the function member for each key and value of an object. It rejects a value that is
// not an object, and keys that are no valid names.
func (r *distributedReader) visit(
	object *fastjson.Value, path string, member func(key, path string, value *fastjson.Value),
) {
	if object.Type() != fastjson.TypeObject {
		r.reject(path, "is not an object")
		return
	}
	const maxName = distribution.MaxKeyBytes / 2
	object.GetObject().Visit(func(key []byte, value *fastjson.Value) {
		name := string(key)
		if name == "" || len(name) > maxName {
			r.reject(path, "%q is not a valid name; a name has 1 to %d bytes", name, maxName)
			return
		}
		member(name, path+"."+name, value)
	})
}

// add appends an entry to the collected entries. If the value is unusable, it also records an
// error.
func (r *distributedReader) add(scope, kind, name, path string, value *fastjson.Value) {
	text := string(value.MarshalTo(nil))
	if problem := checkEntry(kind, text, value); problem != "" {
		r.reject(path, "%s", problem)
	}
	r.entries = append(r.entries, distribution.Entry{Scope: scope, Name: kind + kindSeparator + name, Value: []byte(text)})
}

// checkEntry checks the value of an entry of a kind. It returns an empty text if the value is
// usable; otherwise the text gives the value, and what is allowed.
func checkEntry(kind, text string, value *fastjson.Value) (problem string) {
	switch kind {
	case kindDrain:
		if text != drainValue {
			return fmt.Sprintf("is %s; a drain must be true, and ends when its entry is removed", text)
		}
	case kindWeight:
		if _, ok := parseWeight(text); !ok || value.Type() != fastjson.TypeNumber {
			return fmt.Sprintf("is %s; use a number above 0, and at most %g", text, float64(maxWeight))
		}
	case kindLimit:
		if limit, err := value.Float64(); err != nil || limit < 0 {
			return fmt.Sprintf("is %s; use a number of requests a second, 0 or above", text)
		}
	case kindRoute, kindService:
		if value.Type() != fastjson.TypeObject {
			return "is not an object"
		}
	default:
		kinds := []string{kindDrain, kindWeight, kindLimit, kindRoute, kindService}
		return "is of an unknown kind; the kinds are " + strings.Join(kinds, ", ")
	}
	return ""
}
