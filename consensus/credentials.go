package consensus

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net"
	"os"
)

// Credentials are the files by which a member authenticates itself and verifies the certificates of
// others. If all paths are empty, connections are plain text, which is allowed on loopback only.
type Credentials struct {
	// Certificate is the path of this member's certificate, in PEM.
	Certificate string
	// Key is the path of the certificate's private key, in PEM.
	Key string
	// Authority is the path of the certificate, in PEM, that signs the certificates of all members.
	Authority string
}

// tlsConfig reads the files and returns the TLS configuration. It returns nil, which stands for
// plain text, if all paths are empty.
func (c Credentials) tlsConfig() (*tls.Config, error) {
	if c == (Credentials{}) {
		return nil, nil
	}
	certificate, err := tls.LoadX509KeyPair(c.Certificate, c.Key)
	if err != nil {
		return nil, &ConfigError{"certificate and key", err}
	}
	authority, err := os.ReadFile(c.Authority)
	if err != nil {
		return nil, &ConfigError{"authority", err}
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return nil, &ConfigError{"authority", fmt.Errorf("%s contains no PEM certificate", c.Authority)}
	}
	return &tls.Config{
		Certificates: []tls.Certificate{certificate},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
	}, nil
}

// requireLoopback returns an error for an address (host:port) on which plain text is not allowed.
func requireLoopback(address string) error {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return err
	}
	if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
		return fmt.Errorf("%s is not on loopback, and plain text is allowed on loopback only; "+
			"set certificate, key and authority", address)
	}
	return nil
}
