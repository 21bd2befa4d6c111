// Package settings converts a controller's initial settings to the balancer's types. The simulator
// sends them as lines of path=value, a controller's configuration has them as nested JSON; both
// forms have the same keys.
//
// An unusable setting does not stop the reading: the method that reads the setting returns a zero
// value, and Settings.Err returns the error of the first unusable setting; callers check Err once
// all settings have been read. The keys are words of the simulator's protocol; only this package
// maps them to the balancer's terms.
package settings

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/valyala/fastjson"
)

// WarnFunc logs a warning about input that is still usable, such as an unknown word that is read as
// a safe value.
type WarnFunc func(format string, args ...any)

// KeyError reports a setting that is missing or unusable.
type KeyError struct {
	Key    string // path of the setting, such as rules.rampTime
	Reason string // predicate of a sentence with the key as its subject, such as "is missing"
}

// Error returns the key and the reason as one sentence.
func (e *KeyError) Error() string { return fmt.Sprintf("setting %s %s", e.Key, e.Reason) }

// Settings holds the values of all settings by path. It is not safe for concurrent use.
type Settings struct {
	values map[string]string
	lists  map[string][]string // items of each list by its path; only ParseJSON fills this map
	err    *KeyError           // error of the first rejected setting; nil if no setting is rejected
	warn   WarnFunc
}

// ParseLines parses settings with one path=value per line. It ignores lines without =; of several
// lines with the same path, the last one applies.
func ParseLines(text string, warn WarnFunc) *Settings {
	s := &Settings{values: map[string]string{}, warn: warn}
	for _, line := range strings.Split(text, "\n") {
		if key, value, ok := strings.Cut(strings.TrimSpace(line), "="); ok {
			s.values[key] = value
		}
	}
	return s
}

// ParseJSON reads settings from a JSON object and flattens it to the paths that ParseLines reads.
// List items may contain commas; ParseLines cannot read such items, because commas separate the
// items in its lists.
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

// flattenList stores the comma-separated text of a list under its path, the number of its items
// under path.count, and the separate items in s.lists. It also flattens each item that is an
// object, to paths that start with path and the item's index.
func (s *Settings) flattenList(path string, items []*fastjson.Value) {
	s.values[join(path, "count")] = strconv.Itoa(len(items))
	texts := []string{}
	for i, item := range items {
		if item.Type() == fastjson.TypeObject {
			s.flatten(join(path, strconv.Itoa(i)), item)
		}
		texts = append(texts, plainText(item))
	}
	s.values[path] = strings.Join(texts, ",")
	s.lists[path] = texts
}

func join(path, key string) string { return strings.TrimPrefix(path+"."+key, ".") }

// plainText returns a JSON string without its quotes, and any other value as JSON text.
func plainText(value *fastjson.Value) string {
	if value.Type() == fastjson.TypeString {
		return string(value.GetStringBytes())
	}
	return string(value.MarshalTo(nil))
}

// Reject records that a setting is unusable. Err returns only the error of the first rejected
// setting.
func (s *Settings) Reject(key, reason string) {
	if s.err == nil {
		s.err = &KeyError{Key: key, Reason: reason}
	}
}

// Err returns the *KeyError of the first setting that was rejected so far, or nil.
func (s *Settings) Err() error {
	if s.err == nil {
		return nil
	}
	return s.err
}
