package process

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
)

// Ports below those that the system gives to clients: one of the latter could be taken while its controller is down.
const (
	firstPort   = 20_000
	ports       = 10_000
	maxAttempts = 1_000
)

// FreeAddresses gives addresses on loopback that nobody listens on now.
func FreeAddresses(n int) (addresses []string, err error) {
	var listeners []net.Listener // held until all are found, so that each is given once
	defer func() {
		for _, l := range listeners {
			l.Close()
		}
	}()
	for attempt := 0; len(addresses) < n; attempt++ {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(ports)))
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

// WriteConfig writes a value as a file in a folder, readable by its owner alone, and gives the path.
func WriteConfig(folder, name string, value any) (string, error) {
	body, err := json.MarshalIndent(value, "", " ")
	if err != nil {
		return "", err
	}
	path := filepath.Join(folder, name)
	return path, os.WriteFile(path, body, 0o600)
}
