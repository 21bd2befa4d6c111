package main

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

// boundedController is a controller in a process of its own, without the race detector, whose memory
// differs by its configuration alone.
type boundedController struct {
	*testing.T
	process  *process
	address  string
	memoryMB int
}

// buildProgram builds the program without the race detector, which needs many times the memory.
func buildProgram(t *testing.T) (path string) {
	t.Helper()
	path = filepath.Join(t.TempDir(), "wheelrill")
	if output, err := exec.Command("go", "build", "-o", path, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, output)
	}
	return path
}

// startBounded starts the program with the sample configuration, the given memory and a number of
// proxies.
func startBounded(t *testing.T, program string, memoryMB, proxies int) *boundedController {
	t.Helper()
	sample, err := os.ReadFile("../../deploy/sample.json")
	if err != nil {
		t.Fatal(err)
	}
	text := strings.Replace(string(sample), `"memory_mb": 192`, fmt.Sprintf(`"memory_mb": %d`, memoryMB), 1)
	text = strings.Replace(text, `"proxyCount": 16`, fmt.Sprintf(`"proxyCount": %d`, proxies), 1)
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	c := &boundedController{T: t, memoryMB: memoryMB}
	c.process = startProcess(t, exec.Command(program), path)
	serving := c.process.awaitLine(t, "msg=serving")
	c.address = regexp.MustCompile(`listen=(\S+)`).FindStringSubmatch(serving)[1]
	return c
}

// checkMemory fails the test if the process ever had more memory than its configuration gives it.
func (c *boundedController) checkMemory() {
	c.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", c.process.Process.Pid))
	if err != nil {
		c.Fatal(err)
	}
	peak, err := strconv.Atoi(regexp.MustCompile(`VmHWM:\s+(\d+)`).FindStringSubmatch(string(status))[1])
	if err != nil {
		c.Fatal(err)
	}
	c.Logf("%d MB of %d MB at the peak", peak>>10, c.memoryMB)
	if peak > c.memoryMB<<10 {
		c.Errorf("the process had %d kB of memory, want %d MB at most", peak, c.memoryMB)
	}
}

// terminate ends the process, which has to heed the signal at once.
func (c *boundedController) terminate() {
	c.Helper()
	signaledAt := time.Now()
	c.process.Process.Signal(syscall.SIGTERM)
	c.process.awaitExit(c.T, signaledAt)
}

// stream is a connection to a controller. It acknowledges pushes.
type stream struct {
	*testing.T
	net.Conn
	received chan map[string]any // messages, until the connection ends
}

func (c *boundedController) dial() *stream {
	c.Helper()
	conn, err := net.Dial("tcp", c.address)
	if err != nil {
		c.Fatal(err)
	}
	c.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(testTimeout))
	s := &stream{c.T, conn, make(chan map[string]any, 256)}
	go s.read()
	return s
}

// read reads all messages, and acknowledges pushes.
func (s *stream) read() {
	defer close(s.received)
	for {
		length := make([]byte, 4)
		if _, err := io.ReadFull(s, length); err != nil {
			return
		}
		body := make([]byte, binary.BigEndian.Uint32(length))
		message := map[string]any{}
		if _, err := io.ReadFull(s, body); err != nil || json.Unmarshal(body, &message) != nil {
			return
		}
		if ticket, ok := message["ticket"].(float64); ok {
			s.Write(framed(fmt.Appendf(nil, `{"msg":"ack","nonce":%.0f}`, ticket)))
		}
		s.received <- message
	}
}

func framed(text []byte) []byte {
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(text))), text...)
}

// receive reads messages up to one of the given kind, and returns it.
func (s *stream) receive(kind string) map[string]any {
	s.Helper()
	for message := range s.received {
		if message["msg"] == kind {
			return message
		}
	}
	s.Fatalf("the connection ended without a message %q", kind)
	return nil
}

// firstReason returns the reason of the first error message on any of the streams, or an empty text if
// all of them end without one.
func firstReason(streams []*stream) string {
	reasons := make(chan string, len(streams))
	for _, s := range streams {
		go func() {
			for message := range s.received {
				if reason, ok := message["reason"].(string); ok {
					reasons <- reason
					return
				}
			}
			reasons <- ""
		}()
	}
	for range streams {
		if reason := <-reasons; reason != "" {
			return reason
		}
	}
	return ""
}

// join identifies the stream as a proxy's, and waits for its first table.
func (c *boundedController) join(node int) *stream {
	c.Helper()
	s := c.dial()
	s.Write(framed(fmt.Appendf(nil, `{"msg":"hello","node":%d,"locality":"a","w":10,"cold":true}`, node)))
	s.receive("push")
	return s
}

// shortFields returns a sound message of the given size, which has as many fields as that allows.
func shortFields(size int) []byte {
	text := []byte(`{"msg":"probe"`)
	for i := 0; len(text) < size-16; i++ {
		text = fmt.Appendf(text, `,"%s":0`, strconv.FormatInt(int64(i), 16))
	}
	return append(text, '}')
}

// TestConnectionsStayWithinTheMemory guards against connections that together make the process hold
// more memory than it is configured for, until it is killed.
func TestConnectionsStayWithinTheMemory(t *testing.T) {
	program := buildProgram(t)
	for _, memoryMB := range []int{32, 64} {
		t.Run(fmt.Sprintf("proxies that stop half way through a large message, %d MB", memoryMB), func(t *testing.T) {
			const proxies = 50
			c := startBounded(t, program, memoryMB, proxies+1)
			sound := c.join(proxies)
			half := append(binary.BigEndian.AppendUint32(nil, 1<<20), bytes.Repeat([]byte(" "), 1<<19)...)
			var halves []*stream
			for node := range proxies {
				halves = append(halves, c.join(node))
			}
			for _, s := range halves {
				go s.Write(half)
			}
			large := append(shortFields(500_000), bytes.Repeat([]byte(" "), 400_000)...)
			sound.Write(framed(large))
			sound.receive("alive")
			c.checkMemory()
			if reason := firstReason(halves); !strings.Contains(reason, "not complete in time") {
				t.Errorf("a half message was given up for the reason %q", reason)
			}
			sound.Write(framed([]byte(`{"msg":"probe"}`)))
			sound.receive("alive")
			c.terminate()
		})
		t.Run(fmt.Sprintf("messages of very many short fields, %d MB", memoryMB), func(t *testing.T) {
			const proxies = 10
			c := startBounded(t, program, memoryMB, proxies+1)
			message := framed(shortFields(980_000))
			var streams []*stream
			for node := range proxies {
				streams = append(streams, c.join(node))
			}
			for _, s := range streams {
				go s.Write(message)
			}
			for _, s := range streams {
				s.receive("alive")
			}
			c.checkMemory()
			for _, s := range streams { // the end must not wait for these
				go s.Write(message)
			}
			c.join(proxies)
			c.terminate()
		})
		t.Run(fmt.Sprintf("unidentified connections with half a message, %d MB", memoryMB), func(t *testing.T) {
			c := startBounded(t, program, memoryMB, 16)
			sound := c.join(0)
			for range 400 {
				go c.dial().Write(append(binary.BigEndian.AppendUint32(nil, 16<<10), bytes.Repeat([]byte(" "), 12<<10)...))
			}
			for node := 1; node < 8; node++ {
				c.join(node)
			}
			sound.Write(framed([]byte(`{"msg":"probe"}`)))
			sound.receive("alive")
			c.checkMemory()
			c.terminate()
		})
	}
}
