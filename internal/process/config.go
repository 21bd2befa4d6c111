package process

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
)

// FreeAddresses chooses ports below the ephemeral range: the system could assign an ephemeral port
// to a client while the controller on that port is down.
const (
	firstPort   = 20_000
	portCount   = 10_000
	maxAttempts = 1_000
)

// FreeAddresses returns n different loopback addresses on which no process listens now.
func FreeAddresses(n int) (addresses []string, err error) {
	var listeners []net.Listener // listeners stay open until FreeAddresses returns, so that no address is found twice
	defer func() {
		for _, l := range listeners {
			l.Close()
		}
	}()
	for attempt := 0; len(addresses) < n; attempt++ {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(portCount)))
		switch {
		case err == nil:
			listeners = append(listeners, l)
			addresses = append(addresses, l.Addr().String())
		case attempt == maxAttempts:
			return nil, err
		}
	}
	return addresses, nil
}

// WriteConfig writes a value as JSON to a file in a folder, readable only by its owner, and returns
// the path.
func WriteConfig(folder, name string, value any) (string, error) {
	body, err := json.MarshalIndent(value, "", " ")
	if err != nil {
		return "", err
	}
	path := filepath.Join(folder, name)
	return path, os.WriteFile(path, body, 0o600)
}
