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

// Environment variables of a controller. LB_NAME, LB_LISTEN and LB_DISCOVERY override the settings
// name, listen and discovery in the configuration.
const (
	envConfig    = "LB_CONFIG" // path of the configuration file
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
	command.Flags().StringVar(&optionsPath, "options", "", "YAML file that enables features in addition to LB_CONFIG")
	return command
}

// serve runs a controller until the context is canceled; each SIGHUP reloads the configuration.
func serve(ctx context.Context, hangUps <-chan os.Signal, optionsPath string, log *slog.Logger) error {
	optionsFile := &options.File{}
	if optionsPath != "" {
		var err error
		if optionsFile, err = options.Read(optionsPath); err != nil {
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
	identity := controller.Identity{Name: os.Getenv(envName), Listen: os.Getenv(envListen),
		Discovery: os.Getenv(envDiscovery)}
	c, err := controller.New(identity, configuration, log)
	if err != nil {
		return err
	}
	if err := applyOptions(c, optionsFile); err != nil {
		return fmt.Errorf("%s: %w", optionsPath, err)
	}
	limitResources(c)
	return serveWithReloads(ctx, c, hangUps, log)
}

// applyOptions enables the features in the options file.
func applyOptions(c *controller.Controller, file *options.File) error {
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

// distributionConfig converts the section distribution of the options file. A new key of the
// section has to be added to this function, too.
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

// ownershipConfig converts the section sharing of the options file. A new key of the section has to
// be added to this function, too.
func ownershipConfig(s *options.Sharing) controller.OwnershipConfig {
	return controller.OwnershipConfig{
		Name:        s.Name,
		Members:     s.Members,
		Folder:      s.Folder,
		Credentials: consensus.Credentials{Certificate: s.Certificate, Key: s.Key, Authority: s.Authority},
		Lease:       s.LeaseTime().Microseconds(),
	}
}

// limitResources limits the runtime to the configured number of cores and to three quarters of the
// configured memory.
func limitResources(c *controller.Controller) {
	runtime.GOMAXPROCS(c.Cores())
	if c.Memory() > 0 {
		debug.SetMemoryLimit(c.Memory() / 4 * 3)
	}
}

// serveWithReloads serves until the context is canceled. A goroutine reloads the configuration on
// each hang-up; serveWithReloads returns only when this goroutine has ended.
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

// reload reads the configuration again and applies it. If reading or applying fails, it logs the
// error and changes nothing.
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

// readConfiguration reads the configuration file, and returns early if the context is canceled.
// Opening or reading a file may block forever, for example a pipe without a writer; the goroutine
// that reads the file then ends only with the process.
func readConfiguration(ctx context.Context) ([]byte, error) {
	path := os.Getenv(envConfig)
	if path == "" {
		return nil, errors.New("LB_CONFIG is not set; give the path of a configuration, such as deploy/sample.json")
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
	case loaded := <-done:
		if loaded.err != nil {
			return nil, fmt.Errorf("LB_CONFIG: %w", loaded.err)
		}
		return loaded.configuration, nil
	}
}
