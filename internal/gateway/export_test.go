package gateway

// CrashesSettled reports whether all observed crashes have been recorded.
func (g *Gateway) CrashesSettled() bool {
	return g.crashes.IsIdle()
}
