// Package certifier issues short-lived certificates for tests.
package certifier

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

// lifetime is the time for which certificates are valid.
const lifetime = 24 * time.Hour

// Files are the paths of PEM files.
type Files struct {
	Certificate, Key, Authority string
}

// An Authority signs certificates. It writes their files into a directory.
type Authority struct {
	directory   string
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	serial      int64
	now         time.Time
}

// New returns an authority whose certificates are valid from now on.
func New(directory string, now time.Time) (authority *Authority, err error) {
	defer func() { err = eris.Wrap(err, "create authority") }()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	authority = &Authority{directory: directory, key: key, now: now}
	authority.certificate = authority.template("authority")
	authority.certificate.IsCA = true
	authority.certificate.BasicConstraintsValid = true
	authority.certificate.KeyUsage = x509.KeyUsageCertSign
	return authority, authority.sign("authority", authority.certificate, key)
}

// Issue writes a certificate for 127.0.0.1 and further IP numbers, and its key,
// under a name.
func (a *Authority) Issue(name string, ips ...net.IP) (files Files, err error) {
	defer func() { err = eris.Wrapf(err, "issue certificate %s", name) }()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Files{}, err
	}
	template := a.template(name)
	template.IPAddresses = append(template.IPAddresses, ips...)
	if err := a.sign(name, template, key); err != nil {
		return Files{}, err
	}
	encoded, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return Files{}, err
	}
	files = Files{Certificate: a.path(name + ".pem"), Key: a.path(name + ".key"), Authority: a.path("authority.pem")}
	return files, writePEM(files.Key, "PRIVATE KEY", encoded)
}

func (a *Authority) path(name string) string { return filepath.Join(a.directory, name) }

func (a *Authority) template(name string) *x509.Certificate {
	a.serial++
	return &x509.Certificate{
		SerialNumber: big.NewInt(a.serial),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    a.now.Add(-time.Minute),
		NotAfter:     a.now.Add(lifetime),
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
	}
}

func (a *Authority) sign(name string, template *x509.Certificate, key *ecdsa.PrivateKey) error {
	encoded, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		return err
	}
	return writePEM(a.path(name+".pem"), "CERTIFICATE", encoded)
}

func writePEM(path, kind string, data []byte) error {
	return os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: data}), 0o600)
}
