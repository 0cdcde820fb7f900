package router

import (
	"net/http"
	"strings"

	"github.com/kumquatstack/kumquatstack/internal/version/declarer"
)

// A target is a route together with its upstream.
type target struct {
	route    declarer.Route
	upstream declarer.Upstream
}

// A routeTable matches requests to the routes of one version of the declarations.
// It is immutable.
type routeTable struct {
	version *declarer.Version
	mux     *http.ServeMux
	targets map[string]target // keyed by the mux's pattern
	// ignored lists the paths of routes whose upstream is unknown or that contain braces.
	ignored []string
}

// newRouteTable builds the table of a version. A route matches its path and the
// subtree below it; the longest match takes precedence.
func newRouteTable(version *declarer.Version) *routeTable {
	table := &routeTable{version: version, mux: http.NewServeMux(), targets: make(map[string]target)}
	if version == nil || version.Declarations == nil {
		return table
	}
	upstreams := make(map[string]declarer.Upstream)
	for _, upstream := range version.Declarations.Upstreams {
		upstreams[upstream.Name] = upstream
	}
	for _, route := range version.Declarations.Routes {
		upstream, ok := upstreams[route.Upstream]
		if !ok || strings.ContainsAny(route.Path, "{}") {
			table.ignored = append(table.ignored, route.Path)
			continue
		}
		table.add(target{route: route, upstream: upstream})
	}
	return table
}

// add registers a route for its path and for the subtree below it.
func (t *routeTable) add(entry target) {
	path := strings.TrimRight(entry.route.Path, "/")
	for _, pattern := range []string{path, path + "/"} {
		if _, ok := t.targets[pattern]; ok || pattern == "" {
			continue
		}
		t.targets[pattern] = entry
		t.mux.Handle(pattern, http.NotFoundHandler())
	}
}

// match returns the target of a request, or false if no route matches.
func (t *routeTable) match(r *http.Request) (target, bool) {
	_, pattern := t.mux.Handler(r)
	entry, ok := t.targets[pattern]
	return entry, ok
}
