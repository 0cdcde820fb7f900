// Package controller contains the code that the stand-in programs share: it serves their HTTP
// handlers, announces the addresses of the handlers, and provides the endpoints through which tests
// control the stand-ins.
package controller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os/signal"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
)

// closeGrace is how long a stopping program waits for its requests in flight.
const closeGrace = time.Second

// A Service is a named HTTP handler.
type Service struct {
	Name    string
	Handler http.Handler
	// Prepare, if not nil, configures the server before the server starts.
	Prepare func(*http.Server)
}

// A Listener is the name of a service and the address at which it listens.
type Listener struct {
	Name    string `json:"name"`
	Address string `json:"address"`
}

// An Announcement is the line of JSON that a stand-in program prints once it listens.
type Announcement struct {
	Listeners []Listener `json:"listeners"`
}

// Run serves each service on a port of its own until SIGTERM or SIGINT. The first service listens
// on the given address, the others on free ports of the same IP address. Run prints an Announcement
// to stdout.
func Run(address string, services []Service, stdout io.Writer) (err error) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return Serve(ctx, address, services, stdout)
}

// Serve does the same as Run, but until a context ends.
func Serve(ctx context.Context, address string, services []Service, stdout io.Writer) (err error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return fmt.Errorf("parse address %q: %w", address, err)
	}
	group, ctx := errgroup.WithContext(ctx)
	defer func() { err = errors.Join(err, group.Wait()) }()
	var announcement Announcement
	for i, service := range services {
		if i > 0 {
			address = net.JoinHostPort(host, "0")
		}
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return err
		}
		announcement.Listeners = append(announcement.Listeners, Listener{Name: service.Name, Address: listener.Addr().String()})
		serve(ctx, group, listener, service)
	}
	return json.NewEncoder(stdout).Encode(announcement)
}

// serve starts the server of one service in a group; it runs until the context ends.
func serve(ctx context.Context, group *errgroup.Group, listener net.Listener, service Service) {
	server := &http.Server{Handler: service.Handler, ReadHeaderTimeout: time.Minute}
	if service.Prepare != nil {
		service.Prepare(server)
	}
	group.Go(func() error {
		err := server.Serve(listener)
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return err
	})
	group.Go(func() error {
		<-ctx.Done()
		grace, cancel := context.WithTimeout(context.WithoutCancel(ctx), closeGrace)
		defer cancel()
		if err := server.Shutdown(grace); err != nil {
			return server.Close()
		}
		return nil
	})
}
