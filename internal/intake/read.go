package intake

import (
	"bufio"
	"io"
)

// firstChunk is the number of bytes for which a buffer has room before any byte of a large message
// has arrived.
const firstChunk = 16 << 10

// ReadBody reads a body of the given size into a buffer, which it returns with the body's length. The
// buffer grows only as bytes arrive, so a peer cannot make it allocate memory by announcing a large
// size. progress is called after each read; it may be nil. The error is io.EOF if the body is cut off.
func ReadBody(from io.Reader, buffer []byte, size int, progress func()) ([]byte, error) {
	buffer = buffer[:0]
	for len(buffer) < size {
		if len(buffer) == cap(buffer) {
			larger := make([]byte, len(buffer), min(size, max(firstChunk, 2*cap(buffer))))
			copy(larger, buffer)
			buffer = larger
		}
		n, err := from.Read(buffer[len(buffer):min(cap(buffer), size)])
		buffer = buffer[:len(buffer)+n]
		if n > 0 && progress != nil {
			progress()
		}
		if err != nil && len(buffer) < size {
			return buffer, err
		}
	}
	return buffer, nil
}

// NewReader returns a buffered reader with the small buffer that suits thousands of connections.
func NewReader(from io.Reader) *bufio.Reader { return bufio.NewReaderSize(from, readerBytes) }

// readerBytes is the size in bytes of the buffer of one connection's reader.
const readerBytes = 1 << 10
