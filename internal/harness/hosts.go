package harness

import "github.com/kumquatstack/kumquatstack/internal/connection/lister"

// Hosts returns the workers and runners with their own addresses, which bypass the proxy.
func (c *Cluster) Hosts() []lister.Host { return c.hosts }
