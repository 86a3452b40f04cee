package ingress

// CrashesSettled reports whether all that is known of crashes has been recorded.
func (i *Ingress) CrashesSettled() bool {
	i.crashes.mutex.Lock()
	defer i.crashes.mutex.Unlock()
	return i.crashes.watch.Settled() && len(i.crashes.tasks) == 0
}
