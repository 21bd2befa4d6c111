package ownership

// grant grants a proxy: by a move that is on the record, or by an empty one if this member is without
// quorum, so that the content of the proxy's tables is not known.
func (c *Coordinator) grant(proxy int, move Move) {
	state := c.proxies[proxy]
	state.granted = true
	c.host.ProxyGranted(Grant{
		Proxy:         proxy,
		Token:         state.claimToken,
		Base:          move.Base,
		NoWithdrawals: move.NoWithdrawals,
		Demand:        move.Demand,
	})
}
