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
	"syscall"

	"wheelrill/controller"
)

func main() {
	log.SetFlags(log.Ltime | log.Lmicroseconds | log.LUTC | log.Lmsgprefix)
	if err := run(); err != nil {
		log.Fatalf("event=failed error=%q", err)
	}
}

func run() error {
	path := os.Getenv("LB_CONFIG")
	if path == "" {
		return errors.New("LB_CONFIG is not set")
	}
	configuration, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("LB_CONFIG: %w", err)
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
	defer stop()
	return c.Serve(ctx)
}
