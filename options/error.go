package options

import (
	"errors"
	"fmt"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
)

// FileError reports why an options file is unusable.
type FileError struct {
	File   string // path of the options file
	Line   int    // number of the line at fault, counted from 1; 0 if unknown
	Key    string // key at fault with its sections, such as sharing.name; may be empty
	Reason string // what is wrong with the file or the key, and the values that are allowed
}

// Error returns file, line, key and reason in one line.
func (e *FileError) Error() string {
	position := e.File
	if e.Line > 0 {
		position = fmt.Sprintf("%s:%d", e.File, e.Line)
	}
	if e.Key == "" {
		return position + ": " + e.Reason
	}
	return position + ": " + e.Key + ": " + e.Reason
}

// decodeError converts an error of the YAML decoder to a FileError.
func decodeError(path string, err error) *FileError {
	fileError := &FileError{File: path, Reason: err.Error()}
	var yamlError yaml.Error
	if !errors.As(err, &yamlError) {
		return fileError
	}
	fileError.Reason = yamlError.GetMessage() + "; the keys are those of deploy/wheelrill.yaml"
	if token := yamlError.GetToken(); token != nil {
		fileError.Line = token.Position.Line
		fileError.Key = token.Value
	}
	return fileError
}

// locator finds the lines of keys in an options file.
type locator struct {
	path string
	tree *ast.File // syntax tree of the file; nil if the text cannot be parsed, so that errors have no line
}

// keyError returns a FileError for a key, with the key's line if the file contains the key.
func (l locator) keyError(key, format string, args ...any) error {
	return &FileError{File: l.path, Line: l.line(key), Key: key, Reason: fmt.Sprintf(format, args...)}
}

// line returns the line of a key, or 0 if the file does not contain the key.
func (l locator) line(key string) int {
	path, err := yaml.PathString("$." + key)
	if err != nil || l.tree == nil {
		return 0
	}
	node, err := path.FilterFile(l.tree)
	if err != nil || node == nil {
		return 0
	}
	return node.GetToken().Position.Line
}
