// Command wheelrill runs one controller. Its other commands are for operators: rehearse runs
// scenarios with faults against real controllers, scale measures what controllers consume.
// README.md describes how to start a controller. main.go handles signals and exit codes, serve.go
// runs the controller, rehearse.go and scale.go implement the other commands. Each command only
// reads its flags, calls a package and writes the result.
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

// exitCode is an error that ends the process with this code and no further message.
type exitCode int

// Exit codes of a controller that failed, and of commands with a verdict.
const (
	exitFailed       exitCode = 1 // the controller failed and has logged the cause
	exitViolated     exitCode = 1 // a rule or a budget was violated, or a page differs from the saved runs
	exitInconclusive exitCode = 2 // no verdict: a controller exited by itself, or the arguments or files are unusable
)

// Error returns the code as text; main does not print it.
func (e exitCode) Error() string { return fmt.Sprintf("ended with code %d", int(e)) }

func main() {
	// SIGTERM, SIGINT and SIGHUP are caught before anything else, because the default action of each
	// of them is to kill the process.
	ctx, hangUps := terminationContext(), notifyHangUps()
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

// terminationContext returns a context that is canceled by the first SIGTERM or interrupt. Further
// signals of these kinds are ignored until the process exits.
func terminationContext() context.Context {
	ctx, _ := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	return ctx
}

// notifyHangUps returns a channel that receives each SIGHUP from now on. Several pending SIGHUPs
// are merged into one.
func notifyHangUps() <-chan os.Signal {
	hangUps := make(chan os.Signal, 1)
	signal.Notify(hangUps, syscall.SIGHUP)
	return hangUps
}

// newRootCommand returns the command line. Without a command, it runs serve.
func newRootCommand(ctx context.Context, hangUps <-chan os.Signal) *cobra.Command {
	serve := newServeCommand(ctx, hangUps)
	root := &cobra.Command{
		Use:   "wheelrill",
		Short: "Control plane for load balancing; without a command it runs serve",
		Long: "wheelrill is one controller: proxies and collectors connect to it, it watches discovery, and it\n" +
			"pushes tables of backends and weights to the proxies. Without a command it runs serve, configured\n" +
			"by LB_CONFIG.",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE:          serve.RunE,
	}
	root.AddCommand(serve, newRehearseCommand(ctx), newScaleCommand(ctx))
	return root
}
