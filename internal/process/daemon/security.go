package daemon

import (
	"crypto/tls"
	"net"

	"github.com/kumquatstack/kumquatstack/internal/connection/dialer"
	"github.com/kumquatstack/kumquatstack/internal/process/settings"
)

// security holds the configurations of encrypted connections; they are nil in
// plaintext.
type security struct {
	peers, callers *tls.Config
}

func newSecurity(set *settings.Settings) (s security, err error) {
	if s.peers, err = set.PeerTLS(); err != nil {
		return security{}, err
	}
	s.callers, err = set.CallerTLS()
	return s, err
}

// dial returns a function that opens connections to peers through another.
func (s security) dial(next dialer.DialFunc) dialer.DialFunc {
	return dialer.NewTLSDialFunc(next, s.peers)
}

// listen returns a listener that encrypts what another one accepts; a nil
// configuration returns that one.
func listen(inner net.Listener, config *tls.Config) net.Listener {
	if config == nil {
		return inner
	}
	return tls.NewListener(inner, config)
}
