package harness

import "github.com/kumquatstack/kumquatstack/internal/connection/lister"

// Hosts returns the workers and runners under their own addresses, past the
// proxy.
func (c *Cluster) Hosts() []lister.Host { return c.hosts }
