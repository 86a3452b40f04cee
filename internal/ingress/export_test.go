package ingress

// CrashesSettled reports whether all that is known of crashes has been recorded.
func (i *Ingress) CrashesSettled() bool {
	return i.crashes.Settled()
}
