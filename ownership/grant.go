package ownership

// grantByRecord grants a proxy whose claim is on the record.
func (c *Coordinator) grantByRecord(move Move) {
	c.grant(move.Proxy, move)
}

// grantWithoutQuorum grants a proxy whose content is not known.
func (c *Coordinator) grantWithoutQuorum(proxy int) {
	c.grant(proxy, Move{})
}

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
