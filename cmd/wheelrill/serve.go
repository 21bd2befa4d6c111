package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"slices"
	"sync"
	"syscall"

	"github.com/spf13/cobra"

	"wheelrill/consensus"
	"wheelrill/controller"
	"wheelrill/options"
)

func root(ctx context.Context, again <-chan os.Signal) *cobra.Command {
	var path string
	start := func(*cobra.Command, []string) error {
		return logged(run(ctx, again, path, controller.NewLogger(os.Stderr)))
	}
	top := &cobra.Command{Use: "wheelrill", Short: "Assigns requests to backends; without a command it serves",
		Long: "wheelrill is one controller: proxies and collectors connect to it, it follows discovery, and tells proxies where\n" +
			"requests go. Without a command it serves as LB_CONFIG says.",
		Args: cobra.NoArgs, SilenceUsage: true, SilenceErrors: true, RunE: start}
	serve := &cobra.Command{Use: "serve", Short: "Serve until SIGTERM",
		Example: "  LB_CONFIG=deploy/sample.json wheelrill serve --options deploy/wheelrill.yaml", Args: cobra.NoArgs, RunE: start}
	serve.Flags().StringVar(&path, "options", "", "YAML file of what is switched on beside LB_CONFIG")
	top.AddCommand(serve, rehearsals(ctx), scaling(ctx))
	return top
}

// ending gives a context that ends with the first SIGTERM or interrupt. Those that follow change nothing, to the very
// end of the process.
func ending() context.Context {
	ctx, _ := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	return ctx
}

// hangUps catches SIGHUP from now on; several that wait are one.
func hangUps() <-chan os.Signal {
	again := make(chan os.Signal, 1)
	signal.Notify(again, syscall.SIGHUP)
	return again
}

// logged writes why a controller could not go on, where its other lines are.
func logged(err error) error {
	if err != nil {
		controller.NewLogger(os.Stderr).Error("failed", "error", err)
		return exit(1)
	}
	return nil
}

// run serves until the context ends; each SIGHUP has the configuration read anew.
func run(ctx context.Context, again <-chan os.Signal, path string, log *slog.Logger) error {
	given := &options.File{}
	if path != "" {
		var err error
		if given, err = options.Read(path); err != nil {
			return err
		}
	}
	configuration, err := read(ctx)
	switch {
	case ctx.Err() != nil:
		return nil
	case err != nil:
		return err
	}
	c, err := controller.New(controller.Identity{Name: os.Getenv("LB_NAME"), Listen: os.Getenv("LB_LISTEN"),
		Discovery: os.Getenv("LB_DISCOVERY")}, configuration, log)
	if err != nil {
		return err
	}
	if d := given.Distribution; d != nil {
		if err := c.JoinDistribution(controller.DistributionConfig{Voter: d.Role == options.Voter, Name: d.Name, Parents: d.Parents,
			Scopes: d.Scopes, AllScopes: slices.Equal(d.Scopes, []string{options.AllScopes}), Listen: d.Listen, Folder: d.Folder,
			FanOut: d.FanOut, SnapshotPace: d.SnapshotPace,
			Credentials: consensus.Credentials{Certificate: d.Certificate, Key: d.Key, Authority: d.Authority}}); err != nil {
			return fmt.Errorf("%s: distribution: %w", path, err)
		}
	}
	if s := given.Sharing; s != nil {
		if err := c.ShareOwnership(controller.OwnershipConfig{Name: s.Name, Members: s.Members, Folder: s.Folder,
			Credentials: consensus.Credentials{Certificate: s.Certificate, Key: s.Key, Authority: s.Authority},
			Lease:       s.LeaseTime().Microseconds()}); err != nil {
			return fmt.Errorf("%s: sharing: %w", path, err)
		}
	}
	runtime.GOMAXPROCS(c.Cores())
	if c.Memory() > 0 {
		debug.SetMemoryLimit(c.Memory() / 4 * 3)
	}
	ctx, stop := context.WithCancel(ctx)
	var reloads sync.WaitGroup
	defer reloads.Wait()
	defer stop()
	reloads.Go(func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-again:
				reload(ctx, c, log)
			}
		}
	})
	return c.Serve(ctx)
}

// read reads the configuration until the context ends. Opening or reading a file may never return, as with a pipe that
// nobody fills; what is left of it then ends with the process.
func read(ctx context.Context) ([]byte, error) {
	path := os.Getenv("LB_CONFIG")
	if path == "" {
		return nil, errors.New("LB_CONFIG is not set; give the path of a configuration, as deploy/sample.json")
	}
	var configuration []byte
	done := make(chan error, 1)
	go func() {
		var err error
		configuration, err = os.ReadFile(path)
		done <- err
	}()
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case err := <-done:
		if err != nil {
			return nil, fmt.Errorf("LB_CONFIG: %w", err)
		}
		return configuration, nil
	}
}

func reload(ctx context.Context, c *controller.Controller, log *slog.Logger) {
	configuration, err := read(ctx)
	if ctx.Err() != nil {
		return
	}
	if err == nil {
		err = c.Reload(configuration)
	}
	if err != nil {
		log.Warn("reload_refused", "error", err, "text", "the configuration stays as it was")
	}
}
