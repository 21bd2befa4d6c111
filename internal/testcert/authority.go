// Package testcert makes an authority for one test that signs certificates for names. It is for tests alone.
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

// lifetime is that of certificates; no test is longer.
const lifetime = time.Hour

// Authority signs certificates. Its files are removed with the test.
type Authority struct {
	folder string
	key    *ecdsa.PrivateKey
	cert   *x509.Certificate
}

// Files are the paths of a certificate for a name, its key, and the certificate of its authority, all in PEM.
type Files struct {
	// Certificate is for both sides of TLS.
	Certificate string
	// Key is that of the certificate.
	Key string
	// Authority is the certificate that signs others.
	Authority string
}

// NewAuthority makes an authority for a test.
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

// Issue makes a certificate for a DNS name.
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

func newKey(t testing.TB) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

// sign gives a certificate for a key, in DER.
func (a *Authority) sign(t testing.TB, certificate *x509.Certificate, key *ecdsa.PublicKey) []byte {
	t.Helper()
	der, err := x509.CreateCertificate(rand.Reader, certificate, a.cert, key, a.key)
	if err != nil {
		t.Fatal(err)
	}
	return der
}

func (a *Authority) write(t testing.TB, name, kind string, der []byte) (path string) {
	t.Helper()
	path = filepath.Join(a.folder, name)
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}
