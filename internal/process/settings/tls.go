package settings

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/rotisserie/eris"
)

// PeerTLS returns the configuration of connections from and to peers and
// operators, in both directions: each side shows a certificate that the
// authority has signed. It is nil if the settings say plaintext.
func (s *Settings) PeerTLS() (config *tls.Config, err error) {
	defer func() { err = eris.Wrap(err, "read TLS files") }()
	config, err = s.CallerTLS()
	if config == nil || err != nil {
		return nil, err
	}
	authority, err := os.ReadFile(s.TLS.Authority)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return nil, eris.Errorf("%s holds no certificate", s.TLS.Authority)
	}
	config.RootCAs = pool
	config.ClientCAs = pool
	config.ClientAuth = tls.RequireAndVerifyClientCert
	return config, nil
}

// CallerTLS returns the configuration of connections from callers, who show no
// certificate. It is nil if the settings say plaintext.
func (s *Settings) CallerTLS() (config *tls.Config, err error) {
	if s.Plaintext {
		return nil, nil
	}
	certificate, err := tls.LoadX509KeyPair(s.TLS.Certificate, s.TLS.Key)
	if err != nil {
		return nil, err
	}
	return &tls.Config{Certificates: []tls.Certificate{certificate}, MinVersion: tls.VersionTLS13}, nil
}
