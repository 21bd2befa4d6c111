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

// readDistributed reads the entries that are to be distributed, sorted by their keys; ok is false where the file has none, and
// nothing is to change.
func readDistributed(root *fastjson.Value) (entries []distribution.Entry, ok bool, err error) {
	scopes := root.Get(distributedKey)
	if scopes == nil {
		return nil, false, nil
	}
	r := &distributedReader{}
	r.object(scopes, distributedKey, func(scope, path string, kinds *fastjson.Value) {
		r.object(kinds, path, func(kind, path string, names *fastjson.Value) {
			r.object(names, path, func(name, path string, value *fastjson.Value) {
				r.entry(scope, kind, name, path, value)
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

func (r *distributedReader) fail(path, format string, args ...any) {
	if r.err == nil {
		r.err = fmt.Errorf("configuration: %s: %s", path, fmt.Sprintf(format, args...))
	}
}

// object visits the members of an object.
func (r *distributedReader) object(v *fastjson.Value, path string, member func(key, path string, value *fastjson.Value)) {
	if v.Type() != fastjson.TypeObject {
		r.fail(path, "is no object")
		return
	}
	v.GetObject().Visit(func(key []byte, value *fastjson.Value) {
		name := string(key)
		if name == "" || len(name) > distribution.MaxKeyBytes/2 {
			r.fail(path, "%q is no name; give one of 1 to %d bytes", name, distribution.MaxKeyBytes/2)
			return
		}
		member(name, path+"."+name, value)
	})
}

// entry checks one entry and takes it in.
func (r *distributedReader) entry(scope, kind, name, path string, value *fastjson.Value) {
	text := string(value.MarshalTo(nil))
	switch kind {
	case kindDrain:
		if text != drainValue {
			r.fail(path, "is %s; a drain is true, and ends when its entry is taken out", text)
		}
	case kindWeight:
		if _, ok := parseWeight(text); !ok || value.Type() != fastjson.TypeNumber {
			r.fail(path, "is %s; give a number above 0, up to %g", text, float64(maxWeight))
		}
	case kindLimit:
		if limit, err := value.Float64(); err != nil || limit < 0 {
			r.fail(path, "is %s; give a number of requests a second", text)
		}
	case kindRoute, kindService:
		if value.Type() != fastjson.TypeObject {
			r.fail(path, "is no object")
		}
	default:
		r.fail(path, "is of an unknown kind; there are %s", strings.Join([]string{kindDrain, kindWeight, kindLimit, kindRoute, kindService}, ", "))
	}
	r.entries = append(r.entries, distribution.Entry{Scope: scope, Name: kind + kindSeparator + name, Value: []byte(text)})
}
