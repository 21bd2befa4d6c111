// Command simadapter lets the simulator drive the controllers' decisions over standard input and output.
package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"

	"wheelrill/internal/simwire"
)

func main() {
	if err := run(os.Stdin, os.Stdout, os.Stderr); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}

func run(in io.Reader, out, complaints io.Writer) error {
	r, w := bufio.NewReaderSize(in, 1<<20), bufio.NewWriterSize(out, 1<<20)
	door := simwire.NewDoor(complaints)
	var body bytes.Buffer
	for {
		batch, err := simwire.ReadBatch(r, &body)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		reply, err := door.Handle(batch)
		if err != nil {
			return err
		}
		if _, err := reply.WriteTo(w); err != nil {
			return err
		}
		if err := w.Flush(); err != nil {
			return err
		}
	}
}
