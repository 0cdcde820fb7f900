package declarer

import (
	"fmt"

	"github.com/kumquatstack/kumquatstack/internal/version/decoder"
)

// Parse decodes and checks a declarations document. The name is that of the file,
// for error messages. Every error is a *errs.DocumentError.
func Parse(name string, document []byte) (*Declarations, error) {
	declared := &Declarations{}
	if err := decoder.Decode(name, document, declared, checkDataCentres, checkRoutes, checkUpstreams, checkClasses); err != nil {
		return nil, err
	}
	return declared, nil
}

// checkDataCentres reports data centres that are declared in more than one region.
func checkDataCentres(d *Declarations, report decoder.Report) {
	regions := map[string]string{}
	for i, region := range d.Regions {
		for j, dc := range region.DataCentres {
			first, repeated := regions[dc.Name]
			if repeated && first != region.Name {
				key := fmt.Sprintf("regions[%d].dataCentres[%d].name", i, j)
				report(key, fmt.Sprintf("%q is already in region %q", dc.Name, first), "a name that is used once")
			}
			regions[dc.Name] = region.Name
		}
	}
}

// checkRoutes reports routes to undeclared upstreams.
func checkRoutes(d *Declarations, report decoder.Report) {
	names := namesOf(d.Upstreams, func(u Upstream) string { return u.Name })
	for i, route := range d.Routes {
		if _, ok := d.Upstream(route.Upstream); ok || route.Upstream == "" {
			continue
		}
		report(fmt.Sprintf("routes[%d].upstream", i), fmt.Sprintf("%q is not a declared upstream", route.Upstream), joinOr(names, "declare one under upstreams"))
	}
}

// checkUpstreams reports upstreams whose runners accept fewer connections than they
// have slots.
func checkUpstreams(d *Declarations, report decoder.Report) {
	for i, upstream := range d.Upstreams {
		if upstream.ConnectionsPerRunner < upstream.SlotsPerRunner {
			report(fmt.Sprintf("upstreams[%d].connectionsPerRunner", i),
				fmt.Sprintf("%d connections can't carry %d slots", upstream.ConnectionsPerRunner, upstream.SlotsPerRunner),
				fmt.Sprintf("%d or more", upstream.SlotsPerRunner))
		}
	}
}

// checkClasses reports batch classes with a target, as only services have a
// response time.
func checkClasses(d *Declarations, report decoder.Report) {
	for i, class := range d.Classes {
		if class.Target > 0 && !class.LatencyCritical {
			report(fmt.Sprintf("classes[%d].target", i), "a batch class has no response time", "leave target out or set latencyCritical: true")
		}
	}
}

// Upstream returns the declared upstream of a name, and whether there is one.
func (d *Declarations) Upstream(name string) (Upstream, bool) {
	for _, upstream := range d.Upstreams {
		if upstream.Name == name {
			return upstream, true
		}
	}
	return Upstream{}, false
}

// Team returns the declared team of a name, and whether there is one.
func (d *Declarations) Team(name string) (Team, bool) {
	for _, team := range d.Teams {
		if team.Name == name {
			return team, true
		}
	}
	return Team{}, false
}

// Class returns the declared class of a name, and whether there is one.
func (d *Declarations) Class(name string) (Class, bool) {
	for _, class := range d.Classes {
		if class.Name == name {
			return class, true
		}
	}
	return Class{}, false
}
