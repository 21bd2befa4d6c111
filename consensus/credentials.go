package consensus

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net"
	"os"
)

// Credentials are the files that a member shows to others and checks others by. Where all are empty it speaks plain text,
// which is for loopback alone.
type Credentials struct {
	// Certificate is the path of our certificate, in PEM.
	Certificate string
	// Key is the path of its key, in PEM.
	Key string
	// Authority is the path of the certificate that signs those of all members, in PEM.
	Authority string
}

// tlsConfig reads them; nil for plain text.
func (c Credentials) tlsConfig() (*tls.Config, error) {
	if c == (Credentials{}) {
		return nil, nil
	}
	own, err := tls.LoadX509KeyPair(c.Certificate, c.Key)
	if err != nil {
		return nil, &ConfigError{"certificate and key", err}
	}
	text, err := os.ReadFile(c.Authority)
	if err != nil {
		return nil, &ConfigError{"authority", err}
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, &ConfigError{"authority", fmt.Errorf("no certificate in %s", c.Authority)}
	}
	return &tls.Config{
		Certificates: []tls.Certificate{own},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
	}, nil
}

// requireLoopback refuses an address to which plain text may not be spoken.
func requireLoopback(address string) error {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return err
	}
	if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
		return fmt.Errorf("%s is not on loopback, and plain text is for loopback alone; give certificate, key and authority", address)
	}
	return nil
}
