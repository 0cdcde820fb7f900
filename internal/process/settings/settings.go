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

// Settings are the settings that a daemon reads when it starts. They never change while it runs;
// everything that may change is in the declarations.
type Settings struct {
	// Name identifies the daemon; no two daemons have the same name.
	Name string `yaml:"name" validate:"required,hostname_rfc1123,max=63"`
	// DataCentre is the data centre that the daemon runs in.
	DataCentre string `yaml:"dataCentre" validate:"required,hostname_rfc1123"`
	// Region is the region of the data centre.
	Region string `yaml:"region" validate:"required,hostname_rfc1123"`
	// Listen holds the addresses that the daemon listens on.
	Listen Addresses `yaml:"listen"`
	// Advertise holds the addresses at which others reach the daemon, where
	// they differ from the addresses that it listens on.
	Advertise Advertised `yaml:"advertise"`
	// Store is the platform's key-value service.
	Store Store `yaml:"store"`
	// HostList is the platform's list of hosts.
	HostList HostList `yaml:"hostList"`
	// Seeds are addresses of peers from which the daemon gets the configuration
	// if the store doesn't answer when the daemon starts.
	Seeds []string `yaml:"seeds" validate:"unique"`
	// Reroute maps an address that another daemon advertises to the address that
	// this daemon dials instead, for example behind network address translation.
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
	// BalancerDelay is the time, during a graceful shutdown, from the failure of
	// the readiness check until the daemon stops accepting callers.
	BalancerDelay time.Duration `yaml:"balancerDelay" default:"3s" validate:"min=0,max=5m"`
	// DrainTimeout is the longest time that a graceful shutdown may take.
	DrainTimeout time.Duration `yaml:"drainTimeout" default:"10m" validate:"min=1s,max=24h"`
	// EventBytes is the maximum memory of recorded events, in bytes.
	EventBytes int `yaml:"eventBytes" default:"2097152" validate:"min=65536,max=1073741824"`
}

// Addresses are IP addresses with ports, for example "10.1.0.5:7000".
type Addresses struct {
	// Callers is the address for the callers' requests.
	Callers string `yaml:"callers" validate:"required"`
	// Peers is the address for the calls of other daemons.
	Peers string `yaml:"peers" validate:"required"`
	// Operators is the address for the operators' tool.
	Operators string `yaml:"operators" validate:"required"`
	// Health is the address of /healthz, /readyz and /debug/vars, which are served without TLS.
	Health string `yaml:"health" validate:"required"`
}

// Advertised are the addresses given to others; an empty one defaults to the address that the
// daemon listens on.
type Advertised struct {
	// Callers is the address for callers.
	Callers string `yaml:"callers"`
	// Peers is the address for other daemons.
	Peers string `yaml:"peers"`
	// Operators is the address for the operators' tool.
	Operators string `yaml:"operators"`
}

// Store says how to reach the platform's key-value service.
type Store struct {
	// Endpoint is a URL, for example "http://10.1.0.2:2379".
	Endpoint string `yaml:"endpoint" validate:"required,http_url"`
	// Region is the region that the service runs in; daemons in it are preferred as owners
	// of partitions that daemons of any region can own.
	Region string `yaml:"region" validate:"omitempty,hostname_rfc1123"`
}

// HostList says how to reach the platform's list of hosts.
type HostList struct {
	// Endpoint is a URL.
	Endpoint string `yaml:"endpoint" validate:"required,http_url"`
	// PollInterval is the time between two reads of the list.
	PollInterval time.Duration `yaml:"pollInterval" default:"1s" validate:"min=100ms,max=1m"`
}

// TLS names the PEM files of the daemon's certificate and key, and of the authority that signs the
// certificates of peers and operators.
type TLS struct {
	// Certificate is presented to peers, operators and callers.
	Certificate string `yaml:"certificate" validate:"omitempty,file"`
	// Key is the private key of the certificate.
	Key string `yaml:"key" validate:"omitempty,file"`
	// Authority is the certificate of the authority that signs the certificates of peers and
	// operators.
	Authority string `yaml:"authority" validate:"omitempty,file"`
}

// Load reads and validates a settings file.
func Load(path string) (set *Settings, err error) {
	document, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "read settings")
	}
	return Parse(path, document)
}

// Parse decodes and validates a settings document. The name is the file's, for use in errors. Every
// error is a *errs.DocumentError.
func Parse(name string, document []byte) (*Settings, error) {
	set := &Settings{}
	if err := decoder.Decode(name, document, set, checkAddresses, checkTLS); err != nil {
		return nil, err
	}
	return set.withDefaults(), nil
}

// withDefaults returns a copy in which each empty advertised address is the address listened on.
func (s *Settings) withDefaults() *Settings {
	next := *s
	setDefault := func(advertised *string, listened string) {
		if *advertised == "" {
			*advertised = listened
		}
	}
	setDefault(&next.Advertise.Callers, s.Listen.Callers)
	setDefault(&next.Advertise.Peers, s.Listen.Peers)
	setDefault(&next.Advertise.Operators, s.Listen.Operators)
	return &next
}

// WithStopTimes returns a copy with other limits for a graceful shutdown.
func (s *Settings) WithStopTimes(balancerDelay, drainTimeout time.Duration) *Settings {
	next := *s
	next.BalancerDelay = balancerDelay
	next.DrainTimeout = drainTimeout
	return &next
}

// checkAddresses reports addresses that aren't IP addresses with ports, addresses listened on
// twice, and advertised addresses that others can't dial.
func checkAddresses(s *Settings, report decoder.Report) {
	listened := []struct{ key, address string }{
		{"listen.callers", s.Listen.Callers},
		{"listen.peers", s.Listen.Peers},
		{"listen.operators", s.Listen.Operators},
		{"listen.health", s.Listen.Health},
	}
	usedBy := map[string]string{}
	for _, l := range listened {
		parsed, ok := checkAddress(l.key, l.address, report)
		if !ok || parsed.Port() == 0 {
			continue
		}
		if earlier, repeated := usedBy[l.address]; repeated {
			report(l.key, fmt.Sprintf("%s is already used by %s", l.address, earlier), "an address that no other listener uses")
		}
		usedBy[l.address] = l.key
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

// checkTLS requires either all TLS files or the explicit setting plaintext. Plaintext excludes
// tokens, which would be sent unencrypted.
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
