package gateway

// CrashesSettled reports whether all that is known of crashes has been recorded.
func (g *Gateway) CrashesSettled() bool {
	return g.crashes.IsIdle()
}
