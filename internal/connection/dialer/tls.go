package dialer

import (
	"context"
	"crypto/tls"
	"net"

	"github.com/rotisserie/eris"
)

// NewTLSDialFunc returns a DialFunc whose connections are encrypted and whose
// callee shows a certificate for the IP number that was dialled. A nil
// configuration returns dial itself.
func NewTLSDialFunc(dial DialFunc, config *tls.Config) DialFunc {
	if config == nil {
		return dial
	}
	return func(ctx context.Context, network, address string) (conn net.Conn, err error) {
		defer func() { err = eris.Wrapf(err, "dial %s", address) }()
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			return nil, err
		}
		plain, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		expecting := config.Clone()
		expecting.ServerName = host
		encrypted := tls.Client(plain, expecting)
		if err := encrypted.HandshakeContext(ctx); err != nil {
			// The handshake's error tells more than that of closing.
			_ = plain.Close()
			return nil, err
		}
		return encrypted, nil
	}
}
