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

// checkInterval is the shortest time between two looks at the files.
const checkInterval = 2 * time.Second

// Files name the PEM files of a certificate, its key, and the authority that
// signs the certificates of the other side.
type Files struct {
	Certificate string
	Key         string
	Authority   string
}

// material is what was read from the files. It is immutable.
type material struct {
	certificate tls.Certificate
	authority   *x509.CertPool
	changed     time.Time
}

// A Securer holds the certificates of this process. It reads them again when
// the files change, so that they can be replaced without a restart; connections
// that exist go on with what they were made with.
type Securer struct {
	files  Files
	record recorder.Recorder

	mu      sync.Mutex
	current material
	checked time.Time
}

// New returns a securer with the certificates read from the files.
func New(files Files, record recorder.Recorder, now time.Time) (s *Securer, err error) {
	defer func() { err = eris.Wrap(err, "reading certificates") }()
	read, err := files.read()
	if err != nil {
		return nil, err
	}
	return &Securer{files: files, record: record, current: read, checked: now}, nil
}

// read reads all files. Errors name files but hold nothing of their content.
func (f Files) read() (m material, err error) {
	changed, err := f.changed()
	if err != nil {
		return material{}, err
	}
	certificate, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	if err != nil {
		return material{}, eris.Wrapf(err, "key pair of %s", f.Certificate)
	}
	signers, err := os.ReadFile(f.Authority)
	if err != nil {
		return material{}, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(signers) {
		return material{}, eris.Errorf("%s holds no certificate", f.Authority)
	}
	return material{certificate: certificate, authority: pool, changed: changed}, nil
}

// changed returns the latest modification time of the files.
func (f Files) changed() (latest time.Time, err error) {
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

// material returns the present certificates and looks at the files at most
// once every checkInterval. Files that can't be used leave the former ones.
func (s *Securer) material(now time.Time) material {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.checked) < checkInterval {
		return s.current
	}
	s.checked = now
	if changed, err := s.files.changed(); err == nil && changed.Equal(s.current.changed) {
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

// ServerConfig returns the configuration of a listener whose clients have to
// show a certificate of the authority.
func (s *Securer) ServerConfig() *tls.Config {
	return s.listening(tls.RequireAndVerifyClientCert)
}

// OperatorConfig returns the configuration of a listener whose clients may
// show a token in place of a certificate.
func (s *Securer) OperatorConfig() *tls.Config {
	return s.listening(tls.VerifyClientCertIfGiven)
}

// CallerConfig returns the configuration of a listener whose clients show no
// certificate.
func (s *Securer) CallerConfig() *tls.Config {
	return s.listening(tls.NoClientCert)
}

func (s *Securer) listening(auth tls.ClientAuthType) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			m := s.material(time.Now())
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{m.certificate},
				ClientCAs:    m.authority,
				ClientAuth:   auth,
				NextProtos:   []string{"http/1.1"},
			}, nil
		},
	}
}

// A DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dial returns a function that opens encrypted connections over dial. The
// other side's certificate has to be of the authority, name the address that
// was asked for, and have the unit of the role.
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
		secured := tls.Client(plain, s.dialling(host, role))
		if err := secured.HandshakeContext(ctx); err != nil {
			_ = plain.Close()
			return nil, err
		}
		return secured, nil
	}
}

func (s *Securer) dialling(host string, role Role) *tls.Config {
	m := s.material(time.Now())
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{m.certificate},
		RootCAs:      m.authority,
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
