package cli

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/twitchtv/twirp"

	"github.com/kumquatstack/kumquatstack/internal/errs"
	"github.com/kumquatstack/kumquatstack/internal/rpc/errorcoder"
	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
)

// effect says whether a call may change state.
type effect bool

const (
	readOnly effect = false
	mutating effect = true
)

// A client sends calls to several daemons in turn until one answers.
type client struct {
	daemons []daemonClient
	globals *globalOptions
	token   string
	// notice prints a line for the operator.
	notice func(format string, args ...any)
}

// A daemonClient calls one daemon.
type daemonClient struct {
	kumquatv1.Operator
	address string
}

func (a *app) newClient() (c *client, err error) {
	defer func() { err = eris.Wrap(err, "prepare the connection") }()
	scheme, transport := "http", &http.Transport{}
	if !a.globals.Plaintext {
		scheme = "https"
		if transport.TLSClientConfig, err = a.globals.TLS.config(); err != nil {
			return nil, err
		}
	}
	token, err := a.token()
	if err != nil {
		return nil, err
	}
	c = &client{globals: &a.globals, token: token, notice: a.notice}
	for _, address := range a.globals.Addresses {
		if _, _, err := net.SplitHostPort(address); err != nil {
			return nil, &usageError{fmt.Sprintf("--address: %q is not an address (accepted: an IP number and a port, such as 10.1.0.5:7002)", address)}
		}
		operator := kumquatv1.NewOperatorProtobufClient(scheme+"://"+address, &http.Client{Transport: transport})
		c.daemons = append(c.daemons, daemonClient{Operator: operator, address: address})
	}
	return c, nil
}

// token returns the operator's token, or "" if no token file is given.
func (a *app) token() (string, error) {
	if a.globals.TLS.TokenFile == "" {
		return "", nil
	}
	if a.globals.Plaintext {
		return "", &usageError{"a token is not sent in plaintext; leave --token-file or --plaintext out"}
	}
	content, err := a.system.ReadFile(a.globals.TLS.TokenFile)
	return strings.TrimSpace(string(content)), err
}

// config returns the TLS configuration, or a *usageError if required options are
// missing.
func (o tlsOptions) config() (config *tls.Config, err error) {
	if o.Authority == "" || (o.Certificate == "" || o.Key == "") && o.TokenFile == "" {
		return nil, &usageError{"give --tls-authority, and either --tls-certificate with --tls-key or --token-file; or give only --plaintext"}
	}
	config = &tls.Config{MinVersion: tls.VersionTLS13}
	if o.Certificate != "" {
		certificate, err := tls.LoadX509KeyPair(o.Certificate, o.Key)
		if err != nil {
			return nil, err
		}
		config.Certificates = []tls.Certificate{certificate}
	}
	authority, err := os.ReadFile(o.Authority)
	if err != nil {
		return nil, err
	}
	config.RootCAs = x509.NewCertPool()
	if !config.RootCAs.AppendCertsFromPEM(authority) {
		return nil, eris.Errorf("%s holds no certificate", o.Authority)
	}
	return config, nil
}

// withToken returns a context whose calls carry the operator's token.
func (c *client) withToken(ctx context.Context) (context.Context, error) {
	if c.token == "" {
		return ctx, nil
	}
	return twirp.WithHTTPRequestHeaders(ctx, http.Header{"Authorization": {"Bearer " + c.token}})
}

// call sends a call to the daemons in turn until one answers. All calls are
// idempotent, so a call whose answer was lost may be repeated at the next daemon.
// If a daemon may have received a mutating call and no daemon confirms that it
// took effect, the error is a *errs.UnknownOutcomeError.
func call[Request, Answer any](
	ctx context.Context, c *client, kind effect, op string,
	method func(kumquatv1.Operator, context.Context, *Request) (*Answer, error), request *Request,
) (answer *Answer, err error) {
	var causes []error
	sent := false
	for _, daemon := range c.daemons {
		stop := showProgress(progressInterval, func(waited time.Duration) {
			c.notice("%s: no answer from %s for %s", op, daemon.address, waited)
		})
		answer, maybeSent, err := callOne(ctx, c, daemon, method, request)
		stop()
		if err == nil {
			return answer, nil
		}
		if isFinal(err) && kind == mutating && sent {
			// The refusal doesn't tell whether an earlier attempt took effect.
			return nil, &errs.UnknownOutcomeError{Op: op, Cause: err}
		}
		if isFinal(err) {
			return nil, err
		}
		causes = append(causes, fmt.Errorf("%s: %w", daemon.address, rootCause(err)))
		sent = sent || maybeSent
	}
	unreachable := &unreachableError{causes: causes}
	if kind == mutating && sent {
		return nil, &errs.UnknownOutcomeError{Op: op, Cause: unreachable}
	}
	return nil, unreachable
}

// callOne sends a call to one daemon. It also returns whether the daemon may have
// received it and acted on it.
func callOne[Request, Answer any](
	ctx context.Context, c *client, daemon daemonClient,
	method func(kumquatv1.Operator, context.Context, *Request) (*Answer, error), request *Request,
) (answer *Answer, maybeSent bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.globals.Timeout)
	defer cancel()
	var wrote atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteHeaders: func() { wrote.Store(true) },
	})
	if ctx, err = c.withToken(ctx); err != nil {
		return nil, false, err
	}
	answer, err = method(daemon.Operator, ctx, request)
	err = errorcoder.Decode(err)
	return answer, wrote.Load() && !reportsNoChange(err), err
}

// rootCause returns the cause of a call that failed in transit, without the
// prefixes that the network and HTTP libraries add. Other errors are returned
// unchanged.
func rootCause(err error) error {
	var dialled *net.OpError
	var requested *url.Error
	switch {
	case errors.As(err, &dialled):
		return dialled.Err
	case errors.As(err, &requested):
		return requested.Err
	default:
		return err
	}
}

// isFinal reports whether an error is the system's answer to a call, which any
// other daemon would repeat.
func isFinal(err error) bool {
	var (
		faulty  *errs.DocumentError
		refused *errs.RefusedError
		unknown *errs.UnknownOutcomeError
		answer  twirp.Error
	)
	switch {
	case errors.As(err, &faulty), errors.As(err, &refused), errors.As(err, &unknown):
		return true
	case errors.Is(err, errs.ErrNotFound), errors.Is(err, errs.ErrConflict):
		return true
	case errors.As(err, &answer):
		return codeOfAnswer(answer.Code()) == exitRefused
	default:
		return false
	}
}

// reportsNoChange reports whether an error comes from the daemon itself and says
// that it changed nothing.
func reportsNoChange(err error) bool {
	var (
		unavailable *errs.StoreUnavailableError
		answer      twirp.Error
	)
	return errors.As(err, &unavailable) || errors.Is(err, errs.ErrNotOwner) ||
		errors.As(err, &answer) && answer.Code() == twirp.Unavailable && answer.Meta("http_error_from_intermediary") == ""
}
