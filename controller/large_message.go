package controller

import (
	"bytes"
	"encoding/json"
	"fmt"
	"hash/maphash"
	"io"
	"slices"
	"strconv"

	"github.com/valyala/fastjson"
)

// A message can have a hundred thousand fields, and the tree of values that fastjson makes of them
// takes a hundred times their bytes. So a message of more than limits.smallMessage is first reduced to
// the fields that this controller reads, value by value.

const (
	// maxMessageDepth bounds the depth of values within values. It is that of fastjson.
	maxMessageDepth = fastjson.MaxDepth
	// maxFieldText is the length in bytes above which the text of a field is left out, because no
	// field that this controller reads is so long.
	maxFieldText = 512
	// tokensPerPause is the number of tokens after which the reduction pauses, so that other
	// connections are read too.
	tokensPerPause = 4096
)

// Fields that this controller reads in messages, and in the load figures of a backend.
var (
	messageFields = fieldSet{keyMessage: nil, keyZone: nil, keyProxy: nil, keyRate: nil, keyCold: nil, keyFence: nil, keyNonce: nil,
		keyBackend: nil, keyClass: nil, keyCount: nil, keyFailed: nil, keyLatency: nil, keyInterval: nil, keyLoad: loadFields}
	loadFields = fieldSet{keyUtilization: nil, keyCPU: nil, keyQueue: nil, keyWaiting: nil, keyServiceTime: nil, keyMeanMS: nil}
)

// fieldSet holds the names of fields, with the fields of those whose value is an object.
type fieldSet map[string]fieldSet

// messageReducer reduces one message.
type messageReducer struct {
	decoder *json.Decoder
	seed    maphash.Seed
	pause   func() error // called after each tokensPerPause tokens; its error ends the reduction
	tokens  int          // number of tokens read
	// duplicateKey is set once a key occurs twice in the same object.
	duplicateKey bool
}

// reduceMessage returns a message without the fields that this controller does not read, and reports
// whether a key occurs twice in any object of the message. It returns errUnreadable for text that is
// no JSON object, and the error of pause.
func reduceMessage(text []byte, pause func() error) (reduced []byte, duplicateKey bool, err error) {
	reducer := &messageReducer{decoder: json.NewDecoder(bytes.NewReader(text)), seed: maphash.MakeSeed(), pause: pause}
	reducer.decoder.UseNumber()
	token, err := reducer.next()
	if err != nil || token != json.Delim('{') {
		return nil, false, fmt.Errorf("a message that is no JSON object: %w", errUnreadable)
	}
	if reduced, err = reducer.object(nil, messageFields, 1); err != nil {
		return nil, false, fmt.Errorf("a message that is no JSON object: %w: %w", err, errUnreadable)
	}
	if _, err = reducer.decoder.Token(); err != io.EOF {
		return nil, false, fmt.Errorf("text after the JSON object of a message: %w", errUnreadable)
	}
	return reduced, reducer.duplicateKey, nil
}

// next reads a token.
func (r *messageReducer) next() (json.Token, error) {
	if r.tokens++; r.tokens%tokensPerPause == 0 {
		if err := r.pause(); err != nil {
			return nil, err
		}
	}
	return r.decoder.Token()
}

// object reads the rest of an object whose opening brace was read, and appends it with the given
// fields alone.
func (r *messageReducer) object(to []byte, fields fieldSet, depth int) ([]byte, error) {
	if depth > maxMessageDepth {
		return nil, fmt.Errorf("values in more than %d levels", maxMessageDepth)
	}
	var hashes []uint64 // hash of each key, as the keys themselves would take more memory
	to = append(to, '{')
	isFirst := true
	for r.decoder.More() {
		token, err := r.next()
		if err != nil {
			return nil, err
		}
		key, _ := token.(string)
		hashes = append(hashes, maphash.String(r.seed, key))
		inner, known := fields[key]
		if !known {
			if _, err := r.value(nil, nil, depth); err != nil {
				return nil, err
			}
			continue
		}
		if !isFirst {
			to = append(to, ',')
		}
		isFirst = false
		to = append(strconv.AppendQuote(to, key), ':')
		if to, err = r.value(to, inner, depth); err != nil {
			return nil, err
		}
	}
	slices.Sort(hashes)
	r.duplicateKey = r.duplicateKey || len(slices.Compact(hashes)) < len(hashes)
	_, err := r.next() // the closing brace
	return append(to, '}'), err
}

// value reads a value, and appends it: an object with the given fields alone, an array without its
// values, and an overlong text or number as an empty text.
func (r *messageReducer) value(to []byte, fields fieldSet, depth int) ([]byte, error) {
	token, err := r.next()
	if err != nil {
		return nil, err
	}
	switch value := token.(type) {
	case json.Delim:
		if value == '{' {
			return r.object(to, fields, depth+1)
		}
		return append(to, "[]"...), r.skipArray(depth + 1)
	case json.Number:
		if len(value) <= maxFieldText {
			return append(to, value...), nil
		}
		return append(to, `""`...), nil
	case string:
		if len(value) > maxFieldText {
			value = ""
		}
		text, err := json.Marshal(value)
		return append(to, text...), err
	case bool:
		return strconv.AppendBool(to, value), nil
	default:
		return append(to, "null"...), nil
	}
}

// skipArray reads the rest of an array whose opening bracket was read.
func (r *messageReducer) skipArray(depth int) error {
	if depth > maxMessageDepth {
		return fmt.Errorf("values in more than %d levels", maxMessageDepth)
	}
	for r.decoder.More() {
		if _, err := r.value(nil, nil, depth); err != nil {
			return err
		}
	}
	_, err := r.next() // the closing bracket
	return err
}
