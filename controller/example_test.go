package controller_test

import (
	"context"
	"fmt"
	"os"
	"time"

	"wheelrill/controller"
)

// A controller runs until its context ends. It logs to the given logger.
func ExampleController_Serve() {
	configuration, err := os.ReadFile("../deploy/sample.json")
	if err != nil {
		fmt.Println(err)
		return
	}
	c, err := controller.New(controller.Identity{Listen: "127.0.0.1:0"}, configuration, controller.NewLogger(os.Stderr))
	if err != nil {
		fmt.Println(err)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	fmt.Println(c.Serve(ctx))
	// Output: <nil>
}
