package gateway

// CrashesSettled reports whether all observed crashes have been recorded.
func (g *Gateway) CrashesSettled() bool {
	return g.crashes.IsIdle()
}

// HeldBodyBytes returns the memory that is reserved for the bodies of responses.
func (g *Gateway) HeldBodyBytes() int64 { return g.bodies.Held() }
