// Package options reads the file in which an operator switches on what the platform does not have. It is YAML and
// strict: an error names the file, the line and the key, and says what would do.
package options

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// File is the whole file. What is not there is off.
type File struct {
	Sharing      *Sharing      `yaml:"sharing"`
	Distribution *Distribution `yaml:"distribution"`
}

// Sharing says with whom a controller shares its fleet.
type Sharing struct {
	Name        string            `yaml:"name"`
	Members     map[string]string `yaml:"members"`
	Folder      string            `yaml:"folder"`
	Certificate string            `yaml:"certificate"`
	Key         string            `yaml:"key"`
	Authority   string            `yaml:"authority"`
	Plain       bool              `yaml:"plain"`
	Lease       string            `yaml:"lease"`

	lease time.Duration
}

// LeaseTime is how long a member waits for the record before it goes on by itself; 0 is as usual.
func (s *Sharing) LeaseTime() time.Duration { return s.lease }

// Bounds of a lease: below, a slow answer is taken for a cut; above, drains wait too long in one.
const (
	leastLease = 500 * time.Millisecond
	mostLease  = 10 * time.Second
)

// Problem is what keeps a file from being used.
type Problem struct {
	File string
	Line int // 0 where no line is at fault
	Key  string
	Text string // with what would do
}

// Error says all of it in one line.
func (p *Problem) Error() string {
	at := p.File
	if p.Line > 0 {
		at = fmt.Sprintf("%s:%d", p.File, p.Line)
	}
	if p.Key == "" {
		return at + ": " + p.Text
	}
	return at + ": " + p.Key + ": " + p.Text
}

// Read reads a file.
func Read(path string) (*File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, &Problem{File: path, Text: fmt.Sprintf("cannot be read: %v; give the path of a YAML file", err)}
	}
	return Parse(path, text)
}

// Parse reads the text of a file.
func Parse(path string, text []byte) (*File, error) {
	f := &File{}
	if err := yaml.NewDecoder(bytes.NewReader(text), yaml.Strict()).Decode(f); err != nil && !errors.Is(err, io.EOF) {
		p := &Problem{File: path, Text: err.Error()}
		var at yaml.Error
		if errors.As(err, &at) {
			p.Text = at.GetMessage() + "; the keys are those of deploy/wheelrill.yaml"
			if token := at.GetToken(); token != nil {
				p.Line, p.Key = token.Position.Line, token.Value
			}
		}
		return nil, p
	}
	lines := positions{path: path}
	lines.tree, _ = parser.ParseBytes(text, 0)
	if f.Sharing != nil {
		if err := f.Sharing.check(lines); err != nil {
			return nil, err
		}
	}
	if f.Distribution != nil {
		if err := f.Distribution.check(lines, f.Sharing); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// positions finds the lines of keys.
type positions struct {
	path string
	tree *ast.File
}

func (l positions) problem(key, format string, args ...any) error {
	p := &Problem{File: l.path, Key: key, Text: fmt.Sprintf(format, args...)}
	if way, err := yaml.PathString("$." + key); err == nil && l.tree != nil {
		if node, err := way.FilterFile(l.tree); err == nil && node != nil {
			p.Line = node.GetToken().Position.Line
		}
	}
	return p
}

func (s *Sharing) check(l positions) error {
	if len(s.Members) < 2 {
		return l.problem("sharing.members", "has %d members; name at least two, each with its address, as n0: 10.0.0.4:9443", len(s.Members))
	}
	if _, ok := s.Members[s.Name]; s.Name != "" && !ok {
		return l.problem("sharing.name", "%q is not among the members; give one of %v", s.Name, slices.Sorted(maps.Keys(s.Members)))
	}
	given := 0
	for _, path := range []string{s.Certificate, s.Key, s.Authority} {
		if path != "" {
			given++
		}
	}
	if err := checkAddresses(l, "sharing.members", s.Members, s.Plain); err != nil {
		return err
	}
	if err := checkCredentials(l, "sharing", s.Plain, given); err != nil {
		return err
	}
	if s.Lease != "" {
		lease, err := time.ParseDuration(s.Lease)
		if err != nil || lease < leastLease || lease > mostLease {
			return l.problem("sharing.lease", "%q; give a time from %s to %s, as 1500ms", s.Lease, leastLease, mostLease)
		}
		s.lease = lease
	}
	return nil
}

// checkAddresses refuses names without an address of their own.
func checkAddresses(l positions, section string, addresses map[string]string, plain bool) error {
	taken := map[string]string{}
	for _, name := range slices.Sorted(maps.Keys(addresses)) {
		address, key := addresses[name], section+"."+name
		if err := checkAddress(l, key, address, plain); err != nil {
			return err
		}
		if other, ok := taken[address]; ok {
			return l.problem(key, "%s is that of %s already; give each its own", address, other)
		}
		taken[address] = name
	}
	return nil
}

// checkCredentials refuses plain text beside credentials, and a part of them.
func checkCredentials(l positions, section string, plain bool, given int) error {
	switch {
	case plain && given > 0:
		return l.problem(section+".plain", "goes without certificate, key and authority; give either")
	case !plain && given < 3:
		return l.problem(section, "needs certificate, key and authority, the paths of PEM files; on loopback alone plain: true would do")
	}
	return nil
}
