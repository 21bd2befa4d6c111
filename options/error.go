package options

import (
	"errors"
	"fmt"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
)

// FileError is what keeps a file from being used.
type FileError struct {
	File   string // its path
	Line   int    // from 1; 0 where no line is at fault
	Key    string // with the sections that it is in, or empty
	Reason string // with what would do
}

// Error says all of it in one line.
func (e *FileError) Error() string {
	where := e.File
	if e.Line > 0 {
		where = fmt.Sprintf("%s:%d", e.File, e.Line)
	}
	if e.Key == "" {
		return where + ": " + e.Reason
	}
	return where + ": " + e.Key + ": " + e.Reason
}

// decodeError turns an error of the YAML decoder into ours.
func decodeError(path string, err error) *FileError {
	refused := &FileError{File: path, Reason: err.Error()}
	var at yaml.Error
	if !errors.As(err, &at) {
		return refused
	}
	refused.Reason = at.GetMessage() + "; the keys are those of deploy/wheelrill.yaml"
	if token := at.GetToken(); token != nil {
		refused.Line = token.Position.Line
		refused.Key = token.Value
	}
	return refused
}

// locator finds the lines of keys.
type locator struct {
	path string
	tree *ast.File // nil where the text cannot be parsed
}

// refuse makes the error of a key, with its line if the file has it.
func (l locator) refuse(key, format string, args ...any) error {
	return &FileError{File: l.path, Line: l.line(key), Key: key, Reason: fmt.Sprintf(format, args...)}
}

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
