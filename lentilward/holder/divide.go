package holder

// Division divides the connections that a server accepts among holders and the others.
type Division struct {
	// Holders is the number of holders in each data centre, PerHolder the connections
	// that each may have, and Direct the number of other instances that may have one.
	Holders, PerHolder, Direct int
}

// Divide divides maxConnections. dataCentres is the number of data centres with
// instances, largest the number of instances in the largest, and groups the number of
// groups that the service belongs to. It returns a Division without holders if a server
// accepts too few connections for one holder in each data centre.
func Divide(maxConnections, dataCentres, largest, groups int) Division {
	usable := int(UsableShare * float64(maxConnections))
	dataCentres, groups = max(1, dataCentres), max(1, groups)
	sets := dataCentres * groups
	spare := int(moveShare * float64(usable))
	direct := min(max(0, largest-groups), int(maxDirectShare*float64(usable)))
	left := usable - spare - direct
	holders := min(MaxHolders, left/(sets*minPerHolder))
	if holders < 2 {
		// Few connections: two holders with one each are better than one with more.
		direct = min(direct, max(0, usable-spare-2*sets))
		left = usable - spare - direct
		holders = min(2, left/sets)
	}
	if holders < 1 {
		return Division{}
	}
	direct = min(direct, max(0, largest-holders))
	left = usable - spare - direct
	return Division{Holders: holders, PerHolder: min(maxPerHolder, max(1, left/(sets*holders))), Direct: direct}
}

// Sum returns the connections to a server if all instances use all that they may have.
func (d Division) Sum(dataCentres, groups int) int {
	return d.Holders*d.PerHolder*dataCentres*groups + d.Direct
}
