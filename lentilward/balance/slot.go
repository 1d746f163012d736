package balance

// acquireSlot takes a slot for one call, and a token if the server names a limit. It reports
// whether both were at hand.
func (s *Server) acquireSlot() bool {
	for {
		n := s.inFlight.Load()
		if n >= s.Pool.Limit.Load() || s.IsOutOfService() {
			return false
		}
		if s.inFlight.CompareAndSwap(n, n+1) {
			break
		}
	}
	if !s.takeToken() {
		s.inFlight.Add(-1)
		return false
	}
	return true
}

// returnSlot returns the slot of a call that was not sent.
func (s *Server) returnSlot() {
	s.returnToken()
	s.inFlight.Add(-1)
}
