package securer

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/kumquatstack/kumquatstack/internal/process/recorder"
)

// checkInterval is the shortest time between two checks of the files for changes.
const checkInterval = 2 * time.Second

// Files are the names of the PEM files of a certificate, its key, and the
// certificate authority that signs the certificates of the other side.
type Files struct {
	Certificate string
	Key         string
	Authority   string
}

// credentials are the contents of the files. They are immutable.
type credentials struct {
	certificate tls.Certificate
	authority   *x509.CertPool
	modifiedAt  time.Time // latest modification time of the files
}

// A Securer holds the certificates of this process. It reloads them when the
// files change, so that they can be replaced without a restart. Existing
// connections keep the certificates that they were opened with.
type Securer struct {
	files  Files
	record recorder.Recorder

	mu        sync.Mutex
	current   credentials
	checkedAt time.Time // time of the last check of the files for changes
}

// New returns a securer that has loaded the files.
func New(files Files, record recorder.Recorder, now time.Time) (s *Securer, err error) {
	defer func() { err = eris.Wrap(err, "reading certificates") }()
	read, err := files.read()
	if err != nil {
		return nil, err
	}
	return &Securer{files: files, record: record, current: read, checkedAt: now}, nil
}

// read reads all files. Its errors contain names of files but nothing of their
// contents.
func (f Files) read() (creds credentials, err error) {
	modifiedAt, err := f.modifiedAt()
	if err != nil {
		return credentials{}, err
	}
	certificate, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	if err != nil {
		return credentials{}, eris.Wrapf(err, "key pair of %s", f.Certificate)
	}
	signers, err := os.ReadFile(f.Authority)
	if err != nil {
		return credentials{}, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(signers) {
		return credentials{}, eris.Errorf("%s holds no certificate", f.Authority)
	}
	return credentials{certificate: certificate, authority: pool, modifiedAt: modifiedAt}, nil
}

// modifiedAt returns the latest modification time of the files.
func (f Files) modifiedAt() (latest time.Time, err error) {
	for _, name := range []string{f.Certificate, f.Key, f.Authority} {
		info, err := os.Stat(name)
		if err != nil {
			return time.Time{}, err
		}
		if info.ModTime().After(latest) {
			latest = info.ModTime()
		}
	}
	return latest, nil
}

// credentials returns the current credentials. It checks the files for changes at
// most once every checkInterval. If changed files can't be loaded, the previous
// credentials stay in use.
func (s *Securer) credentials(now time.Time) credentials {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.checkedAt) < checkInterval {
		return s.current
	}
	s.checkedAt = now
	if modifiedAt, err := s.files.modifiedAt(); err == nil && modifiedAt.Equal(s.current.modifiedAt) {
		return s.current
	}
	read, err := s.files.read()
	if err != nil {
		s.record.Record(now, EventReloadFailed, recorder.Fields{"cause": err.Error()})
		return s.current
	}
	s.current = read
	s.record.Record(now, EventReloaded, recorder.Fields{"expires": expiry(read.certificate)})
	return s.current
}

func expiry(certificate tls.Certificate) string {
	if certificate.Leaf == nil {
		return ""
	}
	return certificate.Leaf.NotAfter.UTC().Format(time.RFC3339)
}

// ServerConfig returns the TLS configuration of a listener whose clients must
// present a certificate of the authority.
func (s *Securer) ServerConfig() *tls.Config {
	return s.listenerConfig(tls.RequireAndVerifyClientCert)
}

// OperatorConfig returns the TLS configuration of a listener whose clients may
// present a token instead of a certificate.
func (s *Securer) OperatorConfig() *tls.Config {
	return s.listenerConfig(tls.VerifyClientCertIfGiven)
}

// CallerConfig returns the TLS configuration of a listener whose clients present
// no certificate.
func (s *Securer) CallerConfig() *tls.Config {
	return s.listenerConfig(tls.NoClientCert)
}

func (s *Securer) listenerConfig(auth tls.ClientAuthType) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			creds := s.credentials(time.Now())
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{creds.certificate},
				ClientCAs:    creds.authority,
				ClientAuth:   auth,
				NextProtos:   []string{"http/1.1"},
			}, nil
		},
	}
}

// A DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dial returns a function that opens TLS connections over connections that dial opens.
// The server's certificate must be signed by the authority, be valid for the host
// that is dialled, and have the given role.
func (s *Securer) Dial(dial DialFunc, role Role) DialFunc {
	return func(ctx context.Context, network, address string) (conn net.Conn, err error) {
		defer func() { err = eris.Wrapf(err, "dialling %s", address) }()
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			return nil, err
		}
		plain, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		secured := tls.Client(plain, s.clientConfig(host, role))
		if err := secured.HandshakeContext(ctx); err != nil {
			_ = plain.Close()
			return nil, err
		}
		return secured, nil
	}
}

func (s *Securer) clientConfig(host string, role Role) *tls.Config {
	creds := s.credentials(time.Now())
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{creds.certificate},
		RootCAs:      creds.authority,
		ServerName:   host,
		NextProtos:   []string{"http/1.1"},
		VerifyConnection: func(state tls.ConnectionState) error {
			if found := RoleOf(&state); found != role {
				return eris.Errorf("certificate has the role %s, not %s", found, role)
			}
			return nil
		},
	}
}
