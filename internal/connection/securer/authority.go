package securer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"
)

// A TestAuthority is a certificate authority for tests and the embedded mode. It
// creates its key and all certificates at run time. Its key never leaves the
// process.
type TestAuthority struct {
	directory   string
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// NewTestAuthority returns an authority that writes all its files to a directory.
func NewTestAuthority(directory string, now time.Time) (a *TestAuthority, err error) {
	defer func() { err = eris.Wrap(err, "making a test authority") }()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "test authority"},
		NotBefore:             now.Add(-time.Hour),
		NotAfter:              now.Add(24 * time.Hour),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, err
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, err
	}
	a = &TestAuthority{directory: directory, certificate: certificate, key: key}
	return a, writePEM(a.path("authority.pem"), "CERTIFICATE", der)
}

func (a *TestAuthority) path(name string) string { return filepath.Join(a.directory, name) }

// Issue creates a certificate with a name and a role, valid for the loopback
// address and further IP addresses, and returns its files.
func (a *TestAuthority) Issue(name string, role Role, now time.Time, ips ...net.IP) (files Files, err error) {
	defer func() { err = eris.Wrapf(err, "issuing a certificate for %s", name) }()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Files{}, err
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(now.UnixNano()),
		Subject:      pkix.Name{CommonName: name, OrganizationalUnit: []string{role.Unit()}},
		NotBefore:    now.Add(-time.Hour),
		NotAfter:     now.Add(24 * time.Hour),
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
		IPAddresses:  append([]net.IP{net.IPv4(127, 0, 0, 1)}, ips...),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		return Files{}, err
	}
	secret, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return Files{}, err
	}
	files = Files{
		Certificate: a.path(name + ".pem"),
		Key:         a.path(name + ".key"),
		Authority:   a.path("authority.pem"),
	}
	if err := writePEM(files.Key, "EC PRIVATE KEY", secret); err != nil {
		return Files{}, err
	}
	return files, writePEM(files.Certificate, "CERTIFICATE", der)
}

func writePEM(name, kind string, der []byte) error {
	return os.WriteFile(name, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600)
}
