package policy

// CountBackends tells how many backends discovery lists, and how many of those this gateway
// sends nothing, or single trials only: they drain, or are left out. It is for those who
// look on, and changes nothing.
func (g *Balancer) CountBackends() (listed, avoided int) {
	for _, b := range g.backends {
		if !b.listed || b.State == Removed {
			continue
		}
		listed++
		if b.State != Ready || b.unhealthy || b.errorRate >= ejectionErrorRate {
			avoided++
		}
	}
	return listed, avoided
}
