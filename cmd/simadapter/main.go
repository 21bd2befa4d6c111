// Command simadapter lets the simulator drive the controllers' decisions: it reads frames of events
// from standard input and answers each with a reply of actions on standard output. It exits with
// code 0 if the input ends between frames, and with code 1 and a line on standard error if the
// input does not follow the simulator's protocol.
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

const bufferSize = 1 << 20 // size of the input buffer, and of the output buffer, in bytes

func main() {
	if err := serve(os.Stdin, os.Stdout, os.Stderr); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}

// serve replies to each frame until the input ends.
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
