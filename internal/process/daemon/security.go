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

// security encrypts the daemon's connections and decides on calls. Without
// certificates everything is passed on as it is.
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

// dial returns a function that opens connections to peers through another.
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

// encrypt returns a listener that encrypts what another one accepts; a nil
// configuration returns that one.
func encrypt(inner net.Listener, config *tls.Config) net.Listener {
	if config == nil {
		return inner
	}
	return tls.NewListener(inner, config)
}
