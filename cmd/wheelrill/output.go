package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"wheelrill/rehearse"
)

// writeJSON writes a value as indented JSON.
func writeJSON(w io.Writer, value any) error {
	out := json.NewEncoder(w)
	out.SetIndent("", " ")
	return out.Encode(value)
}

// reportInconclusive writes the error that prevented a verdict, and returns the exit code for it.
func reportInconclusive(err error) error {
	fmt.Fprintln(os.Stderr, "wheelrill:", err)
	return exitInconclusive
}

// verdictError returns the exit code of a verdict as an error, or nil for rehearse.VerdictPassed.
func verdictError(verdict rehearse.Verdict) error {
	switch verdict {
	case rehearse.VerdictPassed:
		return nil
	case rehearse.VerdictViolated:
		return exitViolated
	}
	return exitInconclusive
}

// onTerminal reports whether standard error is a terminal.
func onTerminal() bool {
	info, err := os.Stderr.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

// newProgressWriter returns a function that writes a line of progress to standard error: the
// seconds since the call of newProgressWriter, the given suffix, and the text that is passed to the
// function. newProgressWriter returns nil if standard error is not a terminal.
func newProgressWriter(suffix string) func(text string) {
	if !onTerminal() {
		return nil
	}
	start := time.Now()
	return func(text string) {
		fmt.Fprintf(os.Stderr, "%6.1f s%s  %s\n", time.Since(start).Seconds(), suffix, text)
	}
}
