package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"wheelrill/rehearse"
)

func writeJSON(to io.Writer, value any) error {
	out := json.NewEncoder(to)
	out.SetIndent("", " ")
	return out.Encode(value)
}

// inconclusive writes why nothing could be judged, and ends with its code.
func inconclusive(err error) error {
	fmt.Fprintln(os.Stderr, "wheelrill:", err)
	return exitInconclusive
}

// verdictError ends with the code of a verdict.
func verdictError(verdict rehearse.Verdict) error {
	switch verdict {
	case rehearse.VerdictPassed:
		return nil
	case rehearse.VerdictViolated:
		return exitViolated
	}
	return exitInconclusive
}

// onTerminal tells whether somebody watches standard error.
func onTerminal() bool {
	shown, err := os.Stderr.Stat()
	return err == nil && shown.Mode()&os.ModeCharDevice != 0
}

// progressSince writes texts to standard error with the seconds since now; total is a text behind them. It is nil where
// nobody watches.
func progressSince(total string) func(text string) {
	if !onTerminal() {
		return nil
	}
	began := time.Now()
	return func(text string) { fmt.Fprintf(os.Stderr, "%6.1f s%s  %s\n", time.Since(began).Seconds(), total, text) }
}
