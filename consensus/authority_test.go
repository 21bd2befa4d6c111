package consensus

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

// testAuthority signs certificates for names.
type testAuthority struct {
	*testing.T
	folder string
	key    *ecdsa.PrivateKey
	cert   *x509.Certificate
}

func newAuthority(t *testing.T) *testAuthority {
	t.Helper()
	a := &testAuthority{T: t, folder: t.TempDir()}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	a.key = key
	a.cert = &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true,
		NotAfter: time.Now().Add(time.Hour), BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign}
	a.write("authority.pem", "CERTIFICATE", a.sign(a.cert, &key.PublicKey))
	return a
}

func (a *testAuthority) sign(c *x509.Certificate, key *ecdsa.PublicKey) []byte {
	a.Helper()
	der, err := x509.CreateCertificate(rand.Reader, c, a.cert, key, a.key)
	if err != nil {
		a.Fatal(err)
	}
	return der
}

func (a *testAuthority) write(name, kind string, der []byte) string {
	a.Helper()
	path := filepath.Join(a.folder, name)
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		a.Fatal(err)
	}
	return path
}

func (a *testAuthority) issue(name string) Credentials {
	a.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		a.Fatal(err)
	}
	der, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		a.Fatal(err)
	}
	c := &x509.Certificate{SerialNumber: big.NewInt(2), DNSNames: []string{name}, NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}}
	return Credentials{Certificate: a.write(name+".pem", "CERTIFICATE", a.sign(c, &key.PublicKey)),
		Key: a.write(name+"-key.pem", "EC PRIVATE KEY", der), Authority: filepath.Join(a.folder, "authority.pem")}
}
