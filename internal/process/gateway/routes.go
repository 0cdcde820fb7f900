// Package gateway serves clients at every daemon: it stores submissions and
// cancellations, reports them to the owner of their part, and answers queries for
// their states.
package gateway

import (
	"net"
	"strings"

	"github.com/kumquatstack/kumquatstack/internal/version/submitter"
)

// A Route maps the requests for a host and a path prefix to a queue.
type Route struct {
	Queue  submitter.Queue
	Host   string
	Prefix string
}

// Routes is an immutable table of routes.
type Routes struct {
	byHost map[string][]Route
}

// NewRoutes returns a table of the given routes.
func NewRoutes(routes []Route) *Routes {
	r := &Routes{byHost: make(map[string][]Route)}
	for _, route := range routes {
		r.byHost[route.Host] = append(r.byHost[route.Host], route)
	}
	return r
}

// Match returns the route of a host with the longest matching path prefix, and the
// rest of the path. The host may include a port.
func (r *Routes) Match(host, path string) (route Route, rest string, ok bool) {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, candidate := range r.byHost[host] {
		if strings.HasPrefix(path, candidate.Prefix) && (!ok || len(candidate.Prefix) > len(route.Prefix)) {
			route, ok = candidate, true
		}
	}
	if !ok {
		return route, "", false
	}
	return route, path[len(route.Prefix):], true
}
