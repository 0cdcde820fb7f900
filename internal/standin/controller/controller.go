// Package controller holds what the stand-in programs share: listeners that
// announce their addresses, and the endpoints by which tests control them.
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

// closeGrace is the time that requests in flight have when a program stops.
const closeGrace = time.Second

// A Service is an HTTP handler under a name.
type Service struct {
	Name    string
	Handler http.Handler
	// Prepare may change the server before it starts.
	Prepare func(*http.Server)
}

// A Listener is the address at which a service is reached.
type Listener struct {
	Name    string `json:"name"`
	Address string `json:"address"`
}

// An Announcement is the line that a stand-in program prints once it listens.
type Announcement struct {
	Listeners []Listener `json:"listeners"`
}

// Run serves each service on a port of its own until SIGTERM or SIGINT. The
// first service takes the address itself; the others take free ports of the
// same host. It prints an Announcement to stdout.
func Run(address string, services []Service, stdout io.Writer) (err error) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return Serve(ctx, address, services, stdout)
}

// Serve is Run until a context ends.
func Serve(ctx context.Context, address string, services []Service, stdout io.Writer) (err error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return fmt.Errorf("address %q: %w", address, err)
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

// serve runs one server until the context ends.
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
