package ingress

// CrashesSettled reports whether all that is known of crashes has been recorded.
func (i *Ingress) CrashesSettled() bool {
	watch := i.crashes
	watch.mutex.Lock()
	defer watch.mutex.Unlock()
	for _, held := range watch.examined {
		if held.verdict == verdictNone {
			return false
		}
	}
	return len(watch.own) == 0 && len(watch.clearing) == 0 && len(watch.tasks) == 0
}
