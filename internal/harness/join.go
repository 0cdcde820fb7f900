package harness

// Join starts the daemons of an additional site and returns them. The existing daemons discover
// them through the store.
func (c *Cluster) Join(site Site) []*Daemon {
	c.t.Helper()
	before := len(c.Daemons)
	for range site.Daemons {
		c.addDaemon(site)
	}
	joined := c.Daemons[before:]
	for _, daemon := range joined {
		c.startDaemon(daemon)
	}
	return joined
}
