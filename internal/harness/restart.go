package harness

// Restart waits until a daemon has ended, starts it again with the same name and addresses, and
// waits until it is ready.
func (c *Cluster) Restart(daemon *Daemon) {
	c.t.Helper()
	Eventually(c.t, readyTimeout, daemon.Name+" has ended", func() bool { return !daemon.Running() })
	daemon.Start()
	c.AwaitReady(daemon)
}
