package controller

import (
	"github.com/valyala/fastjson"

	"wheelrill/internal/settings"
)

// numberAt reads the number at a key of an object. ok is false if the value is missing, not a
// number, infinite or negative.
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

// numberAtEither reads a number from key or, if key has no valid number, from otherKey. A number
// above limit is not valid. It returns -1 if neither key has a valid number. It sets invalid if the
// value of key is present and not valid, or if otherKey was read and its value is present and not
// valid.
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

// indexAt reads an integer that is at least 0 and below a bound. ok is false for any other value.
func indexAt(object *fastjson.Value, key string, below int) (index int, ok bool) {
	number, ok := numberAt(object, key)
	return int(number), ok && number < float64(below) && number == float64(int(number))
}

// countAt reads a number of requests or attempts in an interval. ok is false unless the number is
// an integer that is at least 0 and at most perSecond times seconds. An interval below one second
// counts as one second.
func countAt(object *fastjson.Value, key string, perSecond, seconds float64) (count int, ok bool) {
	return indexAt(object, key, int(perSecond*max(seconds, 1))+1)
}

// duplicateKey returns the path of the first key that occurs twice in the same object, at any
// depth. The path is empty if all keys are unique.
func duplicateKey(value *fastjson.Value) (path string) {
	switch value.Type() {
	case fastjson.TypeArray:
		for _, item := range value.GetArray() {
			if path = duplicateKey(item); path != "" {
				return path
			}
		}
	case fastjson.TypeObject:
		// A message can have 100,000 keys, so comparing each key with all others would take too long.
		seen := make(map[string]bool, value.GetObject().Len())
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
