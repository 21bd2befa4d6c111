package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"runtime"
	"runtime/debug"
	"slices"
	"sync"

	"github.com/spf13/cobra"

	"wheelrill/consensus"
	"wheelrill/controller"
	"wheelrill/options"
)

// Environment variables of a controller. Name, listen and discovery go before what the configuration says of them.
const (
	envConfig    = "LB_CONFIG" // path of the configuration
	envName      = "LB_NAME"
	envListen    = "LB_LISTEN"
	envDiscovery = "LB_DISCOVERY"
)

func newServeCommand(ctx context.Context, hangUps <-chan os.Signal) *cobra.Command {
	var optionsPath string
	command := &cobra.Command{
		Use:     "serve",
		Short:   "Serve until SIGTERM",
		Example: "  LB_CONFIG=deploy/sample.json wheelrill serve --options deploy/wheelrill.yaml",
		Args:    cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			log := controller.NewLogger(os.Stderr)
			if err := serve(ctx, hangUps, optionsPath, log); err != nil {
				log.Error("failed", "error", err)
				return exitFailed
			}
			return nil
		},
	}
	command.Flags().StringVar(&optionsPath, "options", "", "YAML file of what is switched on beside LB_CONFIG")
	return command
}

// serve runs a controller until the context ends; each hang-up has the configuration read anew.
func serve(ctx context.Context, hangUps <-chan os.Signal, optionsPath string, log *slog.Logger) error {
	switchedOn := &options.File{}
	if optionsPath != "" {
		var err error
		if switchedOn, err = options.Read(optionsPath); err != nil {
			return err
		}
	}
	configuration, err := readConfiguration(ctx)
	if ctx.Err() != nil {
		return nil
	}
	if err != nil {
		return err
	}
	identity := controller.Identity{Name: os.Getenv(envName), Listen: os.Getenv(envListen), Discovery: os.Getenv(envDiscovery)}
	c, err := controller.New(identity, configuration, log)
	if err != nil {
		return err
	}
	if err := switchOn(c, switchedOn); err != nil {
		return fmt.Errorf("%s: %w", optionsPath, err)
	}
	limitResources(c)
	return serveWithReloads(ctx, c, hangUps, log)
}

// switchOn has a controller do what the options file asks for.
func switchOn(c *controller.Controller, file *options.File) error {
	if file.Distribution != nil {
		if err := c.JoinDistribution(distributionConfig(file.Distribution)); err != nil {
			return fmt.Errorf("distribution: %w", err)
		}
	}
	if file.Sharing != nil {
		if err := c.ShareOwnership(ownershipConfig(file.Sharing)); err != nil {
			return fmt.Errorf("sharing: %w", err)
		}
	}
	return nil
}

// distributionConfig carries the section on. A new key of it has to be added here, too.
func distributionConfig(d *options.Distribution) controller.DistributionConfig {
	return controller.DistributionConfig{
		Voter:        d.Role == options.Voter,
		Name:         d.Name,
		Parents:      d.Parents,
		Scopes:       d.Scopes,
		AllScopes:    slices.Equal(d.Scopes, []string{options.AllScopes}),
		Listen:       d.Listen,
		Folder:       d.Folder,
		FanOut:       d.FanOut,
		SnapshotPace: d.SnapshotBytesPerSecond,
		Credentials:  consensus.Credentials{Certificate: d.Certificate, Key: d.Key, Authority: d.Authority},
	}
}

// ownershipConfig carries the section on. A new key of it has to be added here, too.
func ownershipConfig(s *options.Sharing) controller.OwnershipConfig {
	return controller.OwnershipConfig{
		Name:        s.Name,
		Members:     s.Members,
		Folder:      s.Folder,
		Credentials: consensus.Credentials{Certificate: s.Certificate, Key: s.Key, Authority: s.Authority},
		Lease:       s.LeaseTime().Microseconds(),
	}
}

// limitResources keeps the runtime within the cores and three quarters of the memory that the configuration grants.
func limitResources(c *controller.Controller) {
	runtime.GOMAXPROCS(c.Cores())
	if c.Memory() > 0 {
		debug.SetMemoryLimit(c.Memory() / 4 * 3)
	}
}

// serveWithReloads serves until the context ends, and reloads in a goroutine that ends before it returns.
func serveWithReloads(ctx context.Context, c *controller.Controller, hangUps <-chan os.Signal, log *slog.Logger) error {
	ctx, stop := context.WithCancel(ctx)
	var reloads sync.WaitGroup
	defer reloads.Wait()
	defer stop()
	reloads.Go(func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-hangUps:
				reload(ctx, c, log)
			}
		}
	})
	return c.Serve(ctx)
}

func reload(ctx context.Context, c *controller.Controller, log *slog.Logger) {
	configuration, err := readConfiguration(ctx)
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

// readConfiguration reads the configuration until the context ends. Opening or reading a file may never return, as with
// a pipe that nobody fills; the goroutine that does so then ends with the process.
func readConfiguration(ctx context.Context) ([]byte, error) {
	path := os.Getenv(envConfig)
	if path == "" {
		return nil, errors.New("LB_CONFIG is not set; give the path of a configuration, as deploy/sample.json")
	}
	type result struct {
		configuration []byte
		err           error
	}
	done := make(chan result, 1)
	go func() {
		configuration, err := os.ReadFile(path)
		done <- result{configuration, err}
	}()
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case read := <-done:
		if read.err != nil {
			return nil, fmt.Errorf("LB_CONFIG: %w", read.err)
		}
		return read.configuration, nil
	}
}
