package harness

// Restart starts a daemon again under its old name and addresses once it has
// ended, and waits until it is ready.
func (c *Cluster) Restart(daemon *Daemon) {
	c.t.Helper()
	Eventually(c.t, readyTimeout, daemon.Name+" has ended", func() bool { return !daemon.Running() })
	daemon.Start()
	c.AwaitReady(daemon)
}
