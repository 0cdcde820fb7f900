package daemon

import (
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/connection/dialer"
	"github.com/kumquatstack/kumquatstack/internal/connection/securer"
	"github.com/kumquatstack/kumquatstack/internal/process/recorder"
	"github.com/kumquatstack/kumquatstack/internal/process/settings"
)

// security adds TLS to the daemon's connections and authorises the calls of peers and
// operators. With plaintext settings it does neither.
type security struct {
	securer *securer.Securer
	tokens  securer.Tokens
	record  recorder.Recorder
}

func newSecurity(set *settings.Settings, record recorder.Recorder, now time.Time) (s *security, err error) {
	s = &security{record: record}
	if set.Plaintext {
		return s, nil
	}
	if set.Tokens != "" {
		if s.tokens, err = securer.LoadTokens(set.Tokens); err != nil {
			return nil, err
		}
	}
	s.securer, err = securer.New(securer.Files(set.TLS), record, now)
	return s, err
}

// dial wraps a dial function so that connections to peers use TLS.
func (s *security) dial(next dialer.DialFunc) dialer.DialFunc {
	if s.securer == nil {
		return next
	}
	return dialer.DialFunc(s.securer.Dial(securer.DialFunc(next), securer.RoleDaemon))
}

// peers returns the listener of peers.
func (s *security) peers(address string, handler http.Handler) *listener {
	if s.securer == nil {
		return newListener(address, nil, handler)
	}
	return newListener(address, s.securer.ServerConfig(), securer.GuardDaemons(handler, s.record))
}

// operators returns the listener of operators.
func (s *security) operators(address string, handler http.Handler) *listener {
	if s.securer == nil {
		return newListener(address, nil, handler)
	}
	return newListener(address, s.securer.OperatorConfig(), securer.Guard(handler, s.tokens, s.record))
}

// callers returns the listener of callers.
func (s *security) callers(address string, handler http.Handler) *listener {
	if s.securer == nil {
		return newListener(address, nil, handler)
	}
	return newListener(address, s.securer.CallerConfig(), handler)
}

// withTLS returns a listener that uses TLS on the connections that inner accepts, or inner itself
// if the configuration is nil.
func withTLS(inner net.Listener, config *tls.Config) net.Listener {
	if config == nil {
		return inner
	}
	return tls.NewListener(inner, config)
}
