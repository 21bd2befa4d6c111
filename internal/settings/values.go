package settings

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
)

const (
	microsecondsPerMillisecond = 1000
	maxMicroseconds            = float64(1 << 53) // above 2^53, float64 cannot represent every integer
)

// FromMilliseconds converts milliseconds to microseconds, rounded to an integer of at most 2^53. A
// value that is negative, infinite or not a number becomes 0.
func FromMilliseconds(milliseconds float64) int64 {
	rounded := math.Round(Sanitize(milliseconds) * microsecondsPerMillisecond)
	return int64(min(rounded, maxMicroseconds))
}

// Sanitize returns x, or 0 if x is negative, infinite or not a number. The result 0 stands for an
// absent value.
func Sanitize(x float64) float64 {
	if !usable(x) {
		return 0
	}
	return x
}

func usable(x float64) bool { return !math.IsNaN(x) && !math.IsInf(x, 0) && x >= 0 }

// number reads a required number of 0 or more.
func (s *Settings) number(key string) float64 {
	text, ok := s.values[key]
	if !ok {
		s.Reject(key, "is missing")
		return 0
	}
	x, err := strconv.ParseFloat(text, 64)
	if err != nil || !usable(x) {
		s.Reject(key, fmt.Sprintf("is not a usable number: %q", text))
		return 0
	}
	return x
}

// positive reads a required number above 0.
func (s *Settings) positive(key string) float64 {
	x := s.number(key)
	if x == 0 {
		s.Reject(key, "is 0")
	}
	return x
}

// NumberOr reads an optional number of 0 or more; without the setting it returns the default.
func (s *Settings) NumberOr(key string, defaultValue float64) float64 {
	if !s.has(key) {
		return defaultValue
	}
	return s.number(key)
}

// Count reads a required number of items, truncated to an integer. It rejects a number above
// 65,535, because memory is allocated for each item.
func (s *Settings) Count(key string) int {
	x := s.number(key)
	if x > math.MaxUint16 {
		s.Reject(key, "is out of all bounds")
		return 0
	}
	return int(x)
}

// countUpTo reads an optional count that is 0 by default, and caps it at maxCount.
func (s *Settings) countUpTo(key string, maxCount float64) int {
	return int(min(s.NumberOr(key, 0), maxCount))
}

// microseconds reads a required duration, which the settings give in milliseconds.
func (s *Settings) microseconds(key string) int64 { return FromMilliseconds(s.number(key)) }

// positiveMicroseconds reads a required duration above 0, which the settings give in milliseconds.
func (s *Settings) positiveMicroseconds(key string) int64 { return FromMilliseconds(s.positive(key)) }

// has reports whether an optional setting is present. If the same key is present in another
// spelling (case, underscores, hyphens), that key is rejected: the operator meant to set it, so the
// default would be wrong.
func (s *Settings) has(key string) bool {
	if _, ok := s.values[key]; ok {
		return true
	}
	for _, other := range slices.Sorted(maps.Keys(s.values)) {
		if foldKey(other) == foldKey(key) {
			s.Reject(other, "is not known; "+key+" is")
		}
	}
	return false
}

// foldKey returns a key in lower case, without underscores and hyphens.
func foldKey(key string) string {
	return strings.NewReplacer("_", "", "-", "").Replace(strings.ToLower(key))
}

// flag reads true or false. A missing setting and, with a warning, any other word are read as the
// safe value.
func (s *Settings) flag(key string, safe bool) bool {
	s.has(key)
	switch text, ok := s.values[key]; {
	case text == "true":
		return true
	case text == "false":
		return false
	case ok:
		s.warnUnknownWord(key, text)
	}
	return safe
}

// wordOf reads a setting whose value is one of the known words, and returns the value of that word.
// A missing setting and, with a warning, an unknown word are read as the safe value.
func wordOf[T any](s *Settings, key string, safe T, known map[string]T) T {
	text, ok := s.values[key]
	if value, found := known[text]; found {
		return value
	}
	if ok {
		s.warnUnknownWord(key, text)
	}
	return safe
}

func (s *Settings) warnUnknownWord(key, text string) {
	s.warn("setting %s: unknown word %q", key, text)
}

// list reads an optional list, which is empty by default.
func (s *Settings) list(key string) []string {
	s.has(key)
	if items, ok := s.lists[key]; ok {
		return items
	}
	if s.values[key] == "" {
		return nil
	}
	return strings.Split(s.values[key], ",")
}
