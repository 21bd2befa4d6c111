// Command simadapter lets the simulator drive the controllers' decisions over standard input and output: frames of events
// come in, and each is answered with one frame of actions. It ends with code 0 where the input ends between frames, and
// with 1 and a line on standard error where it is not the simulator's wire.
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

const bufferSize = 1 << 20 // bytes, each way

func main() {
	if err := serve(os.Stdin, os.Stdout, os.Stderr); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}

// serve answers frames until the input ends.
func serve(in io.Reader, out, log io.Writer) error {
	reader := bufio.NewReaderSize(in, bufferSize)
	writer := bufio.NewWriterSize(out, bufferSize)
	server := simwire.NewServer(log)
	var body bytes.Buffer
	for {
		frame, err := simwire.ReadFrame(reader, &body)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		reply, err := server.Handle(frame)
		if err != nil {
			return err
		}
		if _, err := reply.WriteTo(writer); err != nil {
			return err
		}
		if err := writer.Flush(); err != nil {
			return err
		}
	}
}
