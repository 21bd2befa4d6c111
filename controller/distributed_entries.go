package controller

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/valyala/fastjson"

	"wheelrill/distribution"
)

// distributedKey is the object of the configuration whose entries the voters distribute: by scope, kind and name.
const distributedKey = "distributed"

// readDistributed reads the entries that a configuration wants to be distributed, sorted by their keys; not ok where it has none, and
// nothing is to change. An error names the first key that is wrong, and what would do.
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

// distributedReader gathers entries, and the first thing that is wrong.
type distributedReader struct {
	entries []distribution.Entry
	err     error
}

// reject notes what is wrong with a key, if it is the first.
func (r *distributedReader) reject(path, format string, args ...any) {
	if r.err == nil {
		r.err = fmt.Errorf("configuration: %s: %s", path, fmt.Sprintf(format, args...))
	}
}

// visit visits the members of an object.
func (r *distributedReader) visit(object *fastjson.Value, path string, member func(key, path string, value *fastjson.Value)) {
	if object.Type() != fastjson.TypeObject {
		r.reject(path, "is no object")
		return
	}
	const maxName = distribution.MaxKeyBytes / 2
	object.GetObject().Visit(func(key []byte, value *fastjson.Value) {
		name := string(key)
		if name == "" || len(name) > maxName {
			r.reject(path, "%q is no name; give one of 1 to %d bytes", name, maxName)
			return
		}
		member(name, path+"."+name, value)
	})
}

// add checks one entry and takes it in.
func (r *distributedReader) add(scope, kind, name, path string, value *fastjson.Value) {
	text := string(value.MarshalTo(nil))
	if wrong := checkEntry(kind, text, value); wrong != "" {
		r.reject(path, "%s", wrong)
	}
	r.entries = append(r.entries, distribution.Entry{Scope: scope, Name: kind + kindSeparator + name, Value: []byte(text)})
}

// checkEntry says what is wrong with the value of an entry of a kind, and what would do; nothing if it can be used.
func checkEntry(kind, text string, value *fastjson.Value) (wrong string) {
	switch kind {
	case kindDrain:
		if text != drainValue {
			return fmt.Sprintf("is %s; a drain is true, and ends when its entry is taken out", text)
		}
	case kindWeight:
		if _, ok := parseWeight(text); !ok || value.Type() != fastjson.TypeNumber {
			return fmt.Sprintf("is %s; give a number above 0, up to %g", text, float64(maxWeight))
		}
	case kindLimit:
		if limit, err := value.Float64(); err != nil || limit < 0 {
			return fmt.Sprintf("is %s; give a number of requests a second", text)
		}
	case kindRoute, kindService:
		if value.Type() != fastjson.TypeObject {
			return "is no object"
		}
	default:
		kinds := []string{kindDrain, kindWeight, kindLimit, kindRoute, kindService}
		return "is of an unknown kind; there are " + strings.Join(kinds, ", ")
	}
	return ""
}
