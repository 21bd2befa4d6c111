// Command wheelrill is one controller on sockets, and what its operators need beside it: rehearsals and measurements.
// README.md says how it is started. main.go has signals and exit codes, serve.go the controller, rehearse.go and scale.go
// the other commands; each command only reads its flags, calls a package and writes what that gives.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

// exitCode ends the process with a code after all has been written that there is to say.
type exitCode int

// Exit codes of commands that judge something, and of a controller that could not go on.
const (
	exitFailed       exitCode = 1 // a controller has logged why
	exitViolated     exitCode = 1 // a rule or a budget did not hold
	exitInconclusive exitCode = 2 // it could not be judged, as where a controller ended by itself, or was refused
)

// Error is for those who ask.
func (e exitCode) Error() string { return fmt.Sprintf("ended with code %d", int(e)) }

func main() {
	ctx, hangUps := contextOfSignals(), hangUpSignals() // first of all: a signal that nobody catches kills
	err := newRootCommand(ctx, hangUps).Execute()
	if err == nil {
		return
	}
	var code exitCode
	if errors.As(err, &code) {
		os.Exit(int(code))
	}
	fmt.Fprintln(os.Stderr, "wheelrill:", err)
	os.Exit(1)
}

// contextOfSignals gives a context that ends with the first SIGTERM or interrupt. Those that follow change nothing, to the
// very end of the process.
func contextOfSignals() context.Context {
	ctx, _ := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	return ctx
}

// hangUpSignals catches SIGHUP from now on; several that wait are one.
func hangUpSignals() <-chan os.Signal {
	hangUps := make(chan os.Signal, 1)
	signal.Notify(hangUps, syscall.SIGHUP)
	return hangUps
}

// newRootCommand is the command line. Without a command it serves.
func newRootCommand(ctx context.Context, hangUps <-chan os.Signal) *cobra.Command {
	serve := newServeCommand(ctx, hangUps)
	root := &cobra.Command{
		Use:   "wheelrill",
		Short: "Assigns requests to backends; without a command it serves",
		Long: "wheelrill is one controller: proxies and collectors connect to it, it follows discovery, and tells proxies where\n" +
			"requests go. Without a command it serves as LB_CONFIG says.",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE:          serve.RunE,
	}
	root.AddCommand(serve, newRehearseCommand(ctx), newScaleCommand(ctx))
	return root
}
