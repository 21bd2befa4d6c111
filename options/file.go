// Package options reads the file in which an operator switches on what the platform does not have. It is YAML and
// strict: what cannot be used is a *FileError, which names the file, the line and the key, and says what would do.
//
// The names of File and its fields are part of the texts that operators are given for values of a wrong type.
package options

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/parser"
)

// File is the whole file. A section that is not there is off.
type File struct {
	Sharing      *Sharing      `yaml:"sharing"`      // of the fleet, with other controllers
	Distribution *Distribution `yaml:"distribution"` // of configuration
}

// Read reads a file. Its errors are *FileError.
func Read(path string) (*File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, &FileError{File: path, Reason: fmt.Sprintf("cannot be read: %v; give the path of a YAML file", err)}
	}
	return Parse(path, text)
}

// Parse reads the text of a file, whose path stands in errors. They are *FileError.
func Parse(path string, text []byte) (*File, error) {
	file := &File{}
	decoder := yaml.NewDecoder(bytes.NewReader(text), yaml.Strict())
	if err := decoder.Decode(file); err != nil && !errors.Is(err, io.EOF) { // an empty file switches nothing on
		return nil, decodeError(path, err)
	}
	where := locator{path: path}
	where.tree, _ = parser.ParseBytes(text, 0) // without it errors name no line
	if file.Sharing != nil {
		if err := file.Sharing.check(where); err != nil {
			return nil, err
		}
	}
	if file.Distribution != nil {
		if err := file.Distribution.check(where, file.Sharing); err != nil {
			return nil, err
		}
	}
	return file, nil
}
