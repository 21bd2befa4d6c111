// Package settings reads the settings that a controller starts with into the balancer's types. They come as lines of
// path=value from the simulator and as nested JSON in a controller's configuration; both forms have the same keys.
//
// Reading goes on after a key that cannot be used: every reader then returns a zero value, and Settings.Err names the
// first such key once all have been read. Keys of the wire are words of the simulator's pages; this package alone maps
// them to the balancer's terms.
package settings

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/valyala/fastjson"
)

// WarnFunc is told of what is odd but usable, as an unknown word for which a safe value is taken.
type WarnFunc func(format string, args ...any)

// KeyError is a setting that is missing or that cannot be used.
type KeyError struct {
	Key    string // its path, as rules.rampTime
	Reason string // continues a sentence that begins with the key, as "is missing"
}

// Error names the key and the reason.
func (e *KeyError) Error() string { return fmt.Sprintf("setting %s %s", e.Key, e.Reason) }

// Settings are values by their paths. Not safe for concurrent use.
type Settings struct {
	values map[string]string
	lists  map[string][]string // items of lists, where the form has lists
	err    *KeyError           // of the first key that cannot be used
	warn   WarnFunc
}

// ParseLines reads settings of one path=value a line; lines without = are passed over, and of lines with one path the
// last counts.
func ParseLines(text string, warn WarnFunc) *Settings {
	s := &Settings{values: map[string]string{}, warn: warn}
	for _, line := range strings.Split(text, "\n") {
		if key, value, ok := strings.Cut(strings.TrimSpace(line), "="); ok {
			s.values[key] = value
		}
	}
	return s
}

// ParseJSON reads settings from an object, flattened to the paths that ParseLines reads. Items of lists may hold commas.
func ParseJSON(object *fastjson.Value, warn WarnFunc) *Settings {
	s := &Settings{values: map[string]string{}, lists: map[string][]string{}, warn: warn}
	s.flatten("", object)
	return s
}

func (s *Settings) flatten(path string, value *fastjson.Value) {
	switch value.Type() {
	case fastjson.TypeObject:
		value.GetObject().Visit(func(key []byte, item *fastjson.Value) {
			s.flatten(join(path, string(key)), item)
		})
	case fastjson.TypeArray:
		s.flattenList(path, value.GetArray())
	default:
		s.values[path] = plainText(value)
	}
}

// flattenList keeps a list as one text with commas, its count, its items, and the paths within items that are objects.
func (s *Settings) flattenList(path string, items []*fastjson.Value) {
	s.values[join(path, "count")] = strconv.Itoa(len(items))
	words := []string{}
	for i, item := range items {
		if item.Type() == fastjson.TypeObject {
			s.flatten(join(path, strconv.Itoa(i)), item)
		}
		words = append(words, plainText(item))
	}
	s.values[path] = strings.Join(words, ",")
	s.lists[path] = words
}

func join(path, key string) string { return strings.TrimPrefix(path+"."+key, ".") }

// plainText gives a string without its quotes, and any other value as JSON.
func plainText(value *fastjson.Value) string {
	if value.Type() == fastjson.TypeString {
		return string(value.GetStringBytes())
	}
	return string(value.MarshalTo(nil))
}

// Reject notes that a key cannot be used. The first rejected key is the one that Err names.
func (s *Settings) Reject(key, reason string) {
	if s.err == nil {
		s.err = &KeyError{Key: key, Reason: reason}
	}
}

// Err is the *KeyError of the first key rejected among those read so far, or nil.
func (s *Settings) Err() error {
	if s.err == nil {
		return nil
	}
	return s.err
}
