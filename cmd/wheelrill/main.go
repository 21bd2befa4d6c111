// Command wheelrill is one controller on sockets, and what its operators need beside it; README.md says how it is
// started.
package main

import (
	"errors"
	"fmt"
	"os"
)

func main() {
	ctx, again := ending(), hangUps() // first of all: a signal that nobody catches kills
	if err := root(ctx, again).Execute(); err != nil {
		var code exit
		if errors.As(err, &code) {
			os.Exit(int(code))
		}
		fmt.Fprintln(os.Stderr, "wheelrill:", err)
		os.Exit(1)
	}
}

// exit ends the process with a code after all has been said.
type exit int

// Error is for those who ask.
func (e exit) Error() string { return fmt.Sprintf("ended with code %d", int(e)) }
