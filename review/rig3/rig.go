package rig3

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/kumquatstack/kumquatstack/platform/standin"
)

// Names that the operator's configuration uses.
const (
	Service = "charm-orders"
	Host    = "orders.example"
	Prefix  = "/cast/"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// playLimit is when a play is given up.
const playLimit = 115 * time.Second

// A Rig is a small deployment on loopback addresses: the platform's store, runners, and daemons
// in processes of their own.
type Rig struct {
	Record *Record
	Ledger *Ledger
	Store  *standin.Store
	// Trouble is false in the play without the disruption.
	Trouble bool
	Daemons []*Daemon

	directory   string
	reservation net.Listener
	network     int // second number of all addresses
	runners     []*Runner
	servers     []*http.Server
	background  sync.WaitGroup
	gangs       gangs
	storeAt     string
}

// A Play plays a case and returns the descriptions of the cases in which the rule was broken.
type Play func(r *Rig) (broken []string, err error)

// Main plays a case, whose record goes to a file in a folder, and returns the exit code.
func Main(folder string, play Play) int {
	record, err := NewRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	r := &Rig{Record: record, Ledger: NewLedger(record), Store: standin.NewStore(), Trouble: os.Getenv("TROUBLE") != "0"}
	code := r.play(play)
	if err = record.Close(); err != nil {
		return exitNotRun
	}
	return code
}

// play plays a case and ends all that it has started.
func (r *Rig) play(play Play) (code int) {
	type result struct {
		broken []string
		err    error
	}
	r.Record.Note("play with trouble: %t", r.Trouble)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	done := make(chan result, 1)
	defer r.close()
	if err := r.open(); err != nil {
		r.Record.Note("the case could not run: %v", err)
		return exitNotRun
	}
	go func() {
		broken, err := play(r)
		done <- result{broken, err}
	}()
	var end result
	select {
	case end = <-done:
	case received := <-signals:
		end.err = fmt.Errorf("received %s", received)
	case <-time.After(playLimit):
		end.err = errors.New("the play takes too long")
	}
	switch {
	case end.err != nil:
		r.Record.Note("the case could not run: %v", end.err)
		return exitNotRun
	case len(end.broken) > 0:
		for _, broken := range end.broken {
			r.Record.Note("BROKEN: %s", broken)
		}
		return exitBroken
	}
	r.Record.Note("the rule held")
	return exitHeld
}

// open starts the store.
func (r *Rig) open() (err error) {
	if r.directory, err = os.MkdirTemp("", "rig3-"); err != nil {
		return err
	}
	if r.reservation, r.network, err = reserveNetwork(); err != nil {
		return err
	}
	r.storeAt, err = r.Serve(r.Address(0, 1), r.Store)
	return err
}

// reserveNetwork returns a number for the addresses of this play that no other play uses until the
// reservation is closed.
func reserveNetwork() (reservation net.Listener, network int, err error) {
	const networks = 250
	for i := range networks {
		network = 2 + (os.Getpid()+i)%networks
		reservation, err = net.Listen("tcp", fmt.Sprintf("127.%d.0.1:%d", network, frontPort))
		if err == nil {
			return reservation, network, nil
		}
	}
	return nil, 0, fmt.Errorf("reserve loopback addresses: %w", err)
}

// Address returns a loopback IP address.
func (r *Rig) Address(group, number int) string {
	return fmt.Sprintf("127.%d.%d.%d", r.network, group, number)
}

// Serve starts an HTTP server on a free port of an IP address, and returns its address.
func (r *Rig) Serve(ip string, handler http.Handler) (address string, err error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	r.servers = append(r.servers, server)
	r.background.Go(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			r.Record.Note("server at %s: %v", address, err)
		}
	})
	return listener.Addr().String(), nil
}

// Configure writes the operator's configuration, with one queue.
func (r *Rig) Configure(maxAttempts int) {
	r.Store.Put(time.Now(), "op/config", map[string]any{
		"Version": 7,
		"Routes": []map[string]any{{
			"Name": "r-cast", "Host": Host, "Prefix": Prefix, "Kind": "non_idempotent", "TimeoutMs": 3000,
			"TargetDurationMs": 1000, "Priority": 0, "Service": Service, "MaxAttempts": maxAttempts, "Stretch": 2.0, "AllowedRegions": []string{},
		}},
		"Services": []map[string]any{{
			"Name": Service, "HealthPath": "/health", "MaxConns": 64, "Protocol": "h1", "Tls": false, "ColdStartS": 0.0,
			"ColdPerS": 0.0, "AdmissionCheck": false, "Standby": false,
		}},
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
}

// Owner returns the daemon that the record of the first part's owner names.
func (r *Rig) Owner() (*Daemon, error) {
	status, body, err := get("http://" + r.storeAt + "/kumquatstack/kv-key?Key=kumquat/owner/0/record")
	if err != nil || status != http.StatusOK {
		return nil, fmt.Errorf("read the owner record: status %d, %w", status, err)
	}
	var item struct{ Value []byte }
	if err = json.Unmarshal([]byte(body), &item); err != nil {
		return nil, err
	}
	for _, d := range r.Daemons {
		if strings.Contains(string(item.Value), `"`+d.ip+":") {
			return d, nil
		}
	}
	return nil, fmt.Errorf("the owner record names no daemon: %s", item.Value)
}

// close ends all that the play has started.
func (r *Rig) close() {
	for _, d := range r.Daemons {
		d.Kill()
	}
	for _, n := range r.runners {
		n.close()
	}
	for _, server := range r.servers {
		_ = server.Close() // the listener is closed even after an error
	}
	r.background.Wait()
	if r.reservation != nil {
		_ = r.reservation.Close() // nothing uses it
	}
	if r.directory != "" {
		_ = os.RemoveAll(r.directory) // a temporary folder
	}
}

// TaskName returns the name of a task of a submission without occurrences.
func TaskName(id string, step, index int) string {
	return strings.Join([]string{id, "0", strconv.Itoa(step), strconv.Itoa(index)}, ".")
}

// ID returns the id of a submission by its number.
func ID(n int) string { return fmt.Sprintf("%016x", 0x5c0e7a21d94b0000+n) }
