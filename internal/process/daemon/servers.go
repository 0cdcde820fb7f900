package daemon

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/kumquatstack/kumquatstack/internal/connection/forwarder"
	"github.com/kumquatstack/kumquatstack/internal/process/recorder"
	"github.com/kumquatstack/kumquatstack/internal/rpc/errorcoder"
	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
)

// Limits of the daemon's listeners.
const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 64 << 10
)

// A listener is an address on which the daemon serves, with its HTTP server.
type listener struct {
	address string
	// config is the TLS configuration, or nil for plaintext.
	config *tls.Config
	server *http.Server
	socket net.Listener
}

// servers are the daemon's listeners.
type servers struct {
	daemon    *Daemon
	callers   *listener
	peers     *listener
	operators *listener
	health    *listener
	leaving   atomic.Bool
}

// newServers returns the listeners of a daemon whose other components are assembled.
func newServers(d *Daemon) *servers {
	s := &servers{daemon: d}
	at := d.settings.Listen
	s.callers = d.security.callers(at.Callers, closeWhenLeaving(&s.leaving, d.requests.router))
	s.peers = d.security.peers(at.Peers, s.peerMux())
	s.operators = d.security.operators(at.Operators, kumquatv1.NewOperatorServer(d.newAdministrator(), errorcoder.ServerOption()))
	s.health = newListener(at.Health, nil, s.healthMux())
	return s
}

func newListener(address string, config *tls.Config, handler http.Handler) *listener {
	return &listener{address: address, config: config, server: &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}}
}

// all returns the listeners in the order in which they are opened.
func (s *servers) all() []*listener {
	return []*listener{s.health, s.peers, s.operators, s.callers}
}

// peerMux returns the handler of the peer protocol and of forwarded requests.
func (s *servers) peerMux() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(kumquatv1.PeerPathPrefix, kumquatv1.NewPeerServer(s.daemon.responder, errorcoder.ServerOption()))
	mux.Handle(forwarder.Path, s.daemon.requests.forwarder.Handler())
	return mux
}

// healthMux returns the handler of the health checks and the metrics.
func (s *servers) healthMux() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
	})
	mux.HandleFunc("GET /readyz", s.serveReady)
	mux.Handle("GET /debug/vars", s.daemon.metrics)
	return mux
}

// serveReady answers the readiness check, by which the balancer decides whether to send callers
// here.
func (s *servers) serveReady(w http.ResponseWriter, _ *http.Request) {
	switch {
	case s.leaving.Load():
		http.Error(w, "leaving", http.StatusServiceUnavailable)
	case s.daemon.configurer.Declarations() == nil:
		http.Error(w, "no declarations in force", http.StatusServiceUnavailable)
	default:
		w.WriteHeader(http.StatusOK)
	}
}

// listen opens the sockets of all listeners.
func (s *servers) listen() (err error) {
	for _, l := range s.all() {
		if l.socket, err = net.Listen("tcp", l.address); err != nil {
			s.closeSockets()
			return eris.Wrapf(err, "listen on %s", l.address)
		}
		l.socket = withTLS(l.socket, l.config)
	}
	return nil
}

func (s *servers) closeSockets() {
	for _, l := range s.all() {
		if l.socket != nil {
			// The daemon already ends with the error of the socket that could not be opened.
			_ = l.socket.Close()
		}
	}
}

// serve serves on all listeners until all are shut down.
func (s *servers) serve() error {
	var group errgroup.Group
	for _, l := range s.all() {
		group.Go(func() error {
			err := l.server.Serve(l.socket)
			if errors.Is(err, http.ErrServerClosed) {
				return nil
			}
			s.daemon.recorder.Record(time.Now(), EventServerFailed, recorder.Fields{
				"address": l.address,
				"reason":  err.Error(),
			})
			return err
		})
	}
	return group.Wait()
}

// setLeaving makes the readiness check fail, so that the balancer sends callers elsewhere.
func (s *servers) setLeaving() { s.leaving.Store(true) }

// closeWhenLeaving makes a leaving daemon close each connection after its next response. Closing
// idle connections instead would cut off requests that are just arriving.
func closeWhenLeaving(leaving *atomic.Bool, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// drainCallers stops accepting callers and waits for the requests being served.
func (s *servers) drainCallers(ctx context.Context) {
	// abort closes the connections that are still open when the context ends.
	_ = s.callers.server.Shutdown(ctx)
}

// drainPeers stops accepting peers and operators and waits for the calls being served.
func (s *servers) drainPeers(ctx context.Context) {
	_ = s.peers.server.Shutdown(ctx)
	_ = s.operators.server.Shutdown(ctx)
}

// abort closes all listeners and the connections that are still open.
func (s *servers) abort() {
	for _, l := range s.all() {
		// A socket that can't be closed is left to the end of the process.
		_ = l.server.Close()
	}
}
