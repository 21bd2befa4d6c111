// Package testcert creates a certificate authority for a test, which issues certificates for names.
// Only tests use it.
package testcert

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// lifetime is the lifetime of all certificates; no test takes longer.
const lifetime = time.Hour

// Authority is a certificate authority. Its files are removed when the test ends.
type Authority struct {
	folder string
	key    *ecdsa.PrivateKey
	cert   *x509.Certificate
}

// Files has the paths of a certificate for a name, of its key, and of its authority's certificate,
// all in PEM.
type Files struct {
	// Certificate is the path of a certificate that is valid for TLS servers and TLS clients.
	Certificate string
	// Key is the path of the private key of Certificate.
	Key string
	// Authority is the path of the certificate of the authority that issued Certificate.
	Authority string
}

// NewAuthority creates a certificate authority for a test.
func NewAuthority(t testing.TB) *Authority {
	t.Helper()
	a := &Authority{
		folder: t.TempDir(),
		key:    newKey(t),
		cert: &x509.Certificate{
			SerialNumber:          big.NewInt(1),
			Subject:               pkix.Name{CommonName: "authority"},
			IsCA:                  true,
			NotAfter:              time.Now().Add(lifetime),
			BasicConstraintsValid: true,
			KeyUsage:              x509.KeyUsageCertSign,
		},
	}
	a.write(t, "authority.pem", "CERTIFICATE", a.sign(t, a.cert, &a.key.PublicKey))
	return a
}

// Issue creates a key and a certificate for a DNS name.
func (a *Authority) Issue(t testing.TB, name string) Files {
	t.Helper()
	key := newKey(t)
	encodedKey, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	certificate := a.sign(t, &x509.Certificate{
		SerialNumber: big.NewInt(2),
		DNSNames:     []string{name},
		NotAfter:     time.Now().Add(lifetime),
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}, &key.PublicKey)
	return Files{
		Certificate: a.write(t, name+".pem", "CERTIFICATE", certificate),
		Key:         a.write(t, name+"-key.pem", "EC PRIVATE KEY", encodedKey),
		Authority:   filepath.Join(a.folder, "authority.pem"),
	}
}

// newKey generates a P-256 key.
func newKey(t testing.TB) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

// sign signs a certificate for a public key and returns it in DER.
func (a *Authority) sign(t testing.TB, certificate *x509.Certificate, key *ecdsa.PublicKey) []byte {
	t.Helper()
	der, err := x509.CreateCertificate(rand.Reader, certificate, a.cert, key, a.key)
	if err != nil {
		t.Fatal(err)
	}
	return der
}

// write writes DER data as a PEM file and returns its path.
func (a *Authority) write(t testing.TB, name, kind string, der []byte) (path string) {
	t.Helper()
	path = filepath.Join(a.folder, name)
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}
