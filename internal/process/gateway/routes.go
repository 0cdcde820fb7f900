// Package gateway serves clients at every daemon: it makes submissions and
// cancellations durable, hands them to the owner, and answers for states.
package gateway

import (
	"net"
	"strings"
)

// A Route leads requests of a host and a path prefix to a queue.
type Route struct {
	Queue  string
	Host   string
	Prefix string
}

// Routes is an immutable table of routes.
type Routes struct {
	byHost map[string][]Route
}

// NewRoutes returns a table of routes.
func NewRoutes(routes []Route) *Routes {
	r := &Routes{byHost: make(map[string][]Route)}
	for _, route := range routes {
		r.byHost[route.Host] = append(r.byHost[route.Host], route)
	}
	return r
}

// Match returns the route with the longest prefix of a path, and the rest of
// the path.
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
