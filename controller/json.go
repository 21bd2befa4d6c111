package controller

import (
	"github.com/valyala/fastjson"

	"wheelrill/internal/settings"
)

// numberAt reads a number; one that is missing, not a number, infinite or below 0 is not usable.
func numberAt(object *fastjson.Value, key string) (number float64, ok bool) {
	value := object.Get(key)
	if value == nil {
		return 0, false
	}
	number, err := value.Float64()
	if err != nil {
		return 0, false
	}
	return number, number >= 0 && settings.Sanitize(number) == number
}

// numberAtEither reads a number of at most limit that goes by one of two keys; -1 if neither is there. It sets invalid if one is
// there and is not usable.
func numberAtEither(object *fastjson.Value, key, otherKey string, limit float64, invalid *bool) float64 {
	for _, key := range []string{key, otherKey} {
		if number, ok := numberAt(object, key); ok && number <= limit {
			return number
		}
		if object.Exists(key) {
			*invalid = true
		}
	}
	return -1
}

// indexAt reads a whole number below a bound.
func indexAt(object *fastjson.Value, key string, below int) (index int, ok bool) {
	number, ok := numberAt(object, key)
	return int(number), ok && number < float64(below) && number == float64(int(number))
}

// countAt reads a count of requests, of which perSecond can come; parts of one do not exist.
func countAt(object *fastjson.Value, key string, perSecond, seconds float64) (count int, ok bool) {
	return indexAt(object, key, int(perSecond*max(seconds, 1))+1)
}

// duplicateKey gives the path of a key that stands in an object twice, or in an object within it; empty if there is none.
func duplicateKey(value *fastjson.Value) (path string) {
	switch value.Type() {
	case fastjson.TypeArray:
		for _, item := range value.GetArray() {
			if path = duplicateKey(item); path != "" {
				return path
			}
		}
	case fastjson.TypeObject:
		seen := make(map[string]bool, value.GetObject().Len()) // a message may hold a hundred thousand keys
		value.GetObject().Visit(func(key []byte, item *fastjson.Value) {
			if path != "" {
				return
			}
			name := string(key)
			if seen[name] {
				path = name
			} else if inner := duplicateKey(item); inner != "" {
				path = name + "." + inner
			}
			seen[name] = true
		})
	}
	return path
}
