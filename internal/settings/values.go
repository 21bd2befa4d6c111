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
	longestMicroseconds        = float64(1 << 53) // above it a float64 no longer holds every whole number
)

// FromMilliseconds turns milliseconds into whole microseconds; what Sanitize refuses is 0.
func FromMilliseconds(milliseconds float64) int64 {
	rounded := math.Round(Sanitize(milliseconds) * microsecondsPerMillisecond)
	return int64(min(rounded, longestMicroseconds))
}

// Sanitize turns a figure that is negative, infinite or not a number into 0, which stands for absent.
func Sanitize(x float64) float64 {
	if !usable(x) {
		return 0
	}
	return x
}

func usable(x float64) bool { return !math.IsNaN(x) && !math.IsInf(x, 0) && x >= 0 }

// number reads a required figure of 0 or more.
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

// positive reads a required figure above 0.
func (s *Settings) positive(key string) float64 {
	x := s.number(key)
	if x == 0 {
		s.Reject(key, "is 0")
	}
	return x
}

// NumberOr reads a figure of 0 or more that may be left out, which means the given one.
func (s *Settings) NumberOr(key string, absent float64) float64 {
	if !s.has(key) {
		return absent
	}
	return s.number(key)
}

// Count reads a required figure that sizes something in memory: up to 65,535, any fraction cut off.
func (s *Settings) Count(key string) int {
	x := s.number(key)
	if x > math.MaxUint16 {
		s.Reject(key, "is out of all bounds")
		return 0
	}
	return int(x)
}

// countUpTo reads a figure that may be left out, which means 0, and caps it.
func (s *Settings) countUpTo(key string, most float64) int {
	return int(min(s.NumberOr(key, 0), most))
}

// microseconds reads a required time, which the wire has in milliseconds.
func (s *Settings) microseconds(key string) int64 { return FromMilliseconds(s.number(key)) }

// positiveMicroseconds reads a required time above 0, which the wire has in milliseconds.
func (s *Settings) positiveMicroseconds(key string) int64 { return FromMilliseconds(s.positive(key)) }

// has tells whether a key is there that may be left out. A key that is only spelled otherwise is rejected: the operator
// gave it, so its default would be wrong.
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

// foldKey removes what spellings of one key differ by.
func foldKey(key string) string {
	return strings.NewReplacer("_", "", "-", "").Replace(strings.ToLower(key))
}

// flag reads true or false; the safe value stands for another word, with a warning, and for none.
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

// wordOf maps a word of the wire; the safe value stands for another word, with a warning, and for none.
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

// list reads a list that may be left out, which means an empty one.
func (s *Settings) list(key string) []string {
	s.has(key)
	if words, ok := s.lists[key]; ok {
		return words
	}
	if s.values[key] == "" {
		return nil
	}
	return strings.Split(s.values[key], ",")
}
