// Package options reads the options file, in which an operator enables features that the platform's
// own configuration does not have. The file is YAML and read strictly: unknown keys and unusable
// values are reported as a *FileError with the file, the line, the key and the values that are
// allowed.
//
// Errors about values of a wrong type contain the names of File and its fields.
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

// File is the content of an options file. Each section enables a feature; without the section, the
// feature is disabled.
type File struct {
	// Sharing is the section that enables sharing the ownership of proxies with other controllers.
	Sharing *Sharing `yaml:"sharing"`
	// Distribution is the section that enables the distribution of configuration to controllers.
	Distribution *Distribution `yaml:"distribution"`
}

// Read reads an options file. All its errors are *FileError.
func Read(path string) (*File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, &FileError{File: path, Reason: fmt.Sprintf("cannot be read: %v; give the path of a YAML file", err)}
	}
	return Parse(path, text)
}

// Parse parses the text of an options file. It uses the path only in errors, each of which is a
// *FileError.
func Parse(path string, text []byte) (*File, error) {
	file := &File{}
	decoder := yaml.NewDecoder(bytes.NewReader(text), yaml.Strict())
	// The decoder returns io.EOF for an empty file, which is valid and enables no feature.
	if err := decoder.Decode(file); err != nil && !errors.Is(err, io.EOF) {
		return nil, decodeError(path, err)
	}
	loc := locator{path: path}
	loc.tree, _ = parser.ParseBytes(text, 0) // if parsing fails, the tree is nil and errors have no line
	if file.Sharing != nil {
		if err := file.Sharing.check(loc); err != nil {
			return nil, err
		}
	}
	if file.Distribution != nil {
		if err := file.Distribution.check(loc, file.Sharing); err != nil {
			return nil, err
		}
	}
	return file, nil
}
