// Command wheelrill is one controller on sockets; README.md says how it is started.
package main

import (
	"context"
	"errors"
	"fmt"
	"log"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"sync"
	"syscall"

	"wheelrill/controller"
)

func main() {
	again := hangUps()
	log.SetFlags(log.Ltime | log.Lmicroseconds | log.LUTC | log.Lmsgprefix)
	if err := run(again); err != nil {
		log.Fatalf("event=failed error=%q", err)
	}
}

// hangUps catches SIGHUP from now on; several that wait are one.
func hangUps() <-chan os.Signal {
	again := make(chan os.Signal, 1)
	signal.Notify(again, syscall.SIGHUP)
	return again
}

// run serves until SIGTERM or an interrupt; each SIGHUP has the configuration read anew.
func run(again <-chan os.Signal) error {
	configuration, err := read()
	if err != nil {
		return err
	}
	c, err := controller.New(controller.Place{Name: os.Getenv("LB_NAME"), Listen: os.Getenv("LB_LISTEN"),
		Discovery: os.Getenv("LB_DISCOVERY")}, configuration, log.Default())
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(c.Cores())
	if c.Memory() > 0 {
		debug.SetMemoryLimit(c.Memory() / 4 * 3)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	var reloads sync.WaitGroup
	defer reloads.Wait()
	defer stop()
	reloads.Go(func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-again:
				reload(c)
			}
		}
	})
	return c.Serve(ctx)
}

func read() ([]byte, error) {
	path := os.Getenv("LB_CONFIG")
	if path == "" {
		return nil, errors.New("LB_CONFIG is not set")
	}
	configuration, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("LB_CONFIG: %w", err)
	}
	return configuration, nil
}

func reload(c *controller.Controller) {
	configuration, err := read()
	if err == nil {
		err = c.Reload(configuration)
	}
	if err != nil {
		log.Printf("event=reload_refused error=%q text=%q", err, "the configuration stays as it was")
	}
}
