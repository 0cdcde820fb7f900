// Package settings reads the settings file of a daemon.
package settings

import (
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"github.com/kumquatstack/kumquatstack/internal/version/decoder"
)

// Settings are what one daemon is told at its start. They never change while
// it runs; everything that may change is in the declarations.
type Settings struct {
	// Name identifies the daemon; no two daemons have the same.
	Name string `yaml:"name" validate:"required,hostname_rfc1123,max=63"`
	// DataCentre is where the daemon stands.
	DataCentre string `yaml:"dataCentre" validate:"required,hostname_rfc1123"`
	// Region is that of the data centre.
	Region string `yaml:"region" validate:"required,hostname_rfc1123"`
	// Listen holds the addresses the daemon listens on.
	Listen Addresses `yaml:"listen"`
	// Advertise holds the addresses at which others reach the daemon, where
	// they differ from those it listens on.
	Advertise Advertised `yaml:"advertise"`
	// Store is the key-value service.
	Store Store `yaml:"store"`
	// HostList is the list of hosts.
	HostList HostList `yaml:"hostList"`
	// Seeds are addresses of peers that are asked for the configuration when
	// the store does not answer at the start.
	Seeds []string `yaml:"seeds" validate:"unique"`
	// Reroute gives, for an address that another daemon advertises, the one
	// that this daemon dials in its place, as behind address translation.
	Reroute map[string]string `yaml:"reroute"`
	// TLS names the files for encrypted connections.
	TLS TLS `yaml:"tls"`
	// Tokens names a file of operators' tokens: on each line a role (view,
	// confirm or administer) and the token's SHA-256 digest in hexadecimal.
	Tokens string `yaml:"tokens" validate:"omitempty,file"`
	// Plaintext allows connections without TLS.
	Plaintext bool `yaml:"plaintext"`
	// LogLevel is the lowest level that is logged.
	LogLevel string `yaml:"logLevel" default:"info" validate:"oneof=debug info warn error"`
	// BalancerDelay is the time between the answer to the balancer that the
	// daemon is leaving and the end of accepting callers.
	BalancerDelay time.Duration `yaml:"balancerDelay" default:"3s" validate:"min=0,max=5m"`
	// DrainTimeout bounds a planned stop.
	DrainTimeout time.Duration `yaml:"drainTimeout" default:"10m" validate:"min=1s,max=24h"`
	// EventBytes bounds the memory of recorded events.
	EventBytes int `yaml:"eventBytes" default:"2097152" validate:"min=65536,max=1073741824"`
}

// Addresses are IP numbers with ports, for example "10.1.0.5:7000".
type Addresses struct {
	// Callers send their requests here.
	Callers string `yaml:"callers" validate:"required"`
	// Peers are the other daemons.
	Peers string `yaml:"peers" validate:"required"`
	// Operators reach the daemon with the tool here.
	Operators string `yaml:"operators" validate:"required"`
	// Health serves /healthz, /readyz and /debug/vars, without TLS.
	Health string `yaml:"health" validate:"required"`
}

// Advertised are the addresses given to others; an empty one is the address
// that the daemon listens on.
type Advertised struct {
	// Callers is the address for callers.
	Callers string `yaml:"callers"`
	// Peers is the address for other daemons.
	Peers string `yaml:"peers"`
	// Operators is the address for the tool.
	Operators string `yaml:"operators"`
}

// Store tells how to reach the platform's key-value service.
type Store struct {
	// Endpoint is a URL, for example "http://10.1.0.2:2379".
	Endpoint string `yaml:"endpoint" validate:"required,http_url"`
	// Region is where the service runs; daemons there are preferred as owners
	// of partitions that any region could own.
	Region string `yaml:"region" validate:"omitempty,hostname_rfc1123"`
}

// HostList tells how to reach the platform's list of hosts.
type HostList struct {
	// Endpoint is a URL.
	Endpoint string `yaml:"endpoint" validate:"required,http_url"`
	// PollInterval is the time between two reads of the list.
	PollInterval time.Duration `yaml:"pollInterval" default:"1s" validate:"min=100ms,max=1m"`
}

// TLS names the PEM files of the daemon's certificate, its key, and the
// authority that signs the certificates of peers and operators.
type TLS struct {
	// Certificate is shown to peers, operators and callers.
	Certificate string `yaml:"certificate" validate:"omitempty,file"`
	// Key is that of the certificate.
	Key string `yaml:"key" validate:"omitempty,file"`
	// Authority signs the certificates of peers and operators.
	Authority string `yaml:"authority" validate:"omitempty,file"`
}

// Load reads and checks a settings file.
func Load(path string) (set *Settings, err error) {
	document, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "read settings")
	}
	return Parse(path, document)
}

// Parse decodes and checks a settings document. The name is that of the file
// and stands in errors. Every error is a *errs.DocumentError.
func Parse(name string, document []byte) (*Settings, error) {
	set := &Settings{}
	if err := decoder.Decode(name, document, set, checkAddresses, checkTLS); err != nil {
		return nil, err
	}
	return set.withDefaults(), nil
}

// withDefaults returns a copy whose empty advertised addresses are filled in.
func (s *Settings) withDefaults() *Settings {
	next := *s
	fill := func(advertised *string, listened string) {
		if *advertised == "" {
			*advertised = listened
		}
	}
	fill(&next.Advertise.Callers, s.Listen.Callers)
	fill(&next.Advertise.Peers, s.Listen.Peers)
	fill(&next.Advertise.Operators, s.Listen.Operators)
	return &next
}

// WithStop returns a copy with other times for a planned stop.
func (s *Settings) WithStop(balancerDelay, drainTimeout time.Duration) *Settings {
	next := *s
	next.BalancerDelay = balancerDelay
	next.DrainTimeout = drainTimeout
	return &next
}

// checkAddresses requires IP numbers with ports, no address listened on
// twice, and advertised addresses that others can dial.
func checkAddresses(s *Settings, report decoder.Report) {
	listened := []struct{ key, address string }{
		{"listen.callers", s.Listen.Callers},
		{"listen.peers", s.Listen.Peers},
		{"listen.operators", s.Listen.Operators},
		{"listen.health", s.Listen.Health},
	}
	first := map[string]string{}
	for _, l := range listened {
		parsed, ok := checkAddress(l.key, l.address, report)
		if !ok || parsed.Port() == 0 {
			continue
		}
		if earlier, repeated := first[l.address]; repeated {
			report(l.key, fmt.Sprintf("%s is already used by %s", l.address, earlier), "an address of its own")
		}
		first[l.address] = l.key
	}
	checkAdvertised("advertise.callers", s.Advertise.Callers, s.Listen.Callers, report)
	checkAdvertised("advertise.peers", s.Advertise.Peers, s.Listen.Peers, report)
	checkAdvertised("advertise.operators", s.Advertise.Operators, s.Listen.Operators, report)
	for i, seed := range s.Seeds {
		checkAddress(fmt.Sprintf("seeds[%d]", i), seed, report)
	}
	for advertised, dialled := range s.Reroute {
		checkAddress("reroute", advertised, report)
		checkAddress("reroute", dialled, report)
	}
}

func checkAddress(key, address string, report decoder.Report) (parsed netip.AddrPort, ok bool) {
	if address == "" {
		return parsed, false
	}
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		report(key, fmt.Sprintf("%q is not an address", address), "an IP number and a port, such as 10.1.0.5:7000")
		return parsed, false
	}
	return parsed, true
}

func checkAdvertised(key, advertised, listened string, report decoder.Report) {
	address := advertised
	if address == "" {
		address = listened
	}
	parsed, err := netip.ParseAddrPort(address)
	switch {
	case err != nil:
		if advertised != "" {
			checkAddress(key, advertised, report)
		}
	case parsed.Addr().IsUnspecified():
		report(key, fmt.Sprintf("others can't reach %s", address), "the IP number of this host")
	}
}

// checkTLS requires all TLS files, or none and the word that plaintext is
// meant.
func checkTLS(s *Settings, report decoder.Report) {
	given := 0
	for _, path := range []string{s.TLS.Certificate, s.TLS.Key, s.TLS.Authority} {
		if path != "" {
			given++
		}
	}
	switch {
	case s.Plaintext && s.Tokens != "":
		report("tokens", "tokens would be sent in plaintext", "tls in place of plaintext: true")
	case s.Plaintext && given > 0:
		report("plaintext", "TLS files are given too", "one of plaintext: true and tls")
	case !s.Plaintext && given == 0:
		report("tls", "no TLS files are given", "certificate, key and authority, or plaintext: true")
	case !s.Plaintext && given < 3:
		report("tls", "TLS files are missing", "certificate, key and authority")
	}
}
