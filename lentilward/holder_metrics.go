package main

// registerHolderMetrics registers the metrics of hand-overs.
func (g *Gateway) registerHolderMetrics() {
	for name, gauge := range map[string]struct {
		help  string
		value func() float64
	}{
		"lentilward_handovers":                {"Searches that were handed to holders.", func() float64 { return float64(g.holders.handed.Load()) }},
		"lentilward_handovers_second":         {"Hand-overs to a second holder in place of one that was late or lost.", func() float64 { return float64(g.holders.second.Load()) }},
		"lentilward_handovers_direct":         {"Searches called directly in place of a holder that was late or lost.", func() float64 { return float64(g.holders.direct.Load()) }},
		"lentilward_handovers_unaided":        {"Searches whose holder was late or lost and had no replacement.", func() float64 { return float64(g.holders.unaided.Load()) }},
		"lentilward_searches_held":            {"Searches that this instance has run as holder for peers.", func() float64 { return float64(g.holders.run.Load()) }},
		"lentilward_holders":                  {"Instances that hold connections for others; 0 if holders are not needed.", g.holders.holderCount},
		"lentilward_holder":                   {"1 while this instance is a holder.", func() float64 { return boolToFloat(g.holders.plan.Load().HoldsAny()) }},
		"lentilward_backend_open_connections": {"Connections to backend servers that are open.", func() float64 { return float64(g.openConnections()) }},
	} {
		g.metrics.RegisterGauge(name, gauge.help, gauge.value)
	}
}

func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// openConnections returns the number of open connections to backend servers.
func (g *Gateway) openConnections() int {
	n := 0
	if snapshot := g.directory.Current.Load(); snapshot != nil {
		for _, service := range snapshot.Services {
			for _, s := range service.Servers() {
				n += s.Pool.Open()
			}
		}
	}
	return n
}

func (h *holders) holderCount() float64 {
	if p := h.plan.Load(); p != nil {
		return float64(p.HolderCount)
	}
	return 0
}
