package places

// HostConstraint restricts the machines that may serve a request by their region and by the version of the
// software that they run. The zero value allows all.
type HostConstraint struct {
	Regions Constraint
	// Software is the only allowed version; empty for any.
	Software string
}

// Key returns a string that equal constraints have in common, and that is empty if all machines are allowed.
func (c HostConstraint) Key() string {
	if c.Software == "" {
		return c.Regions.Key()
	}
	return c.Regions.Key() + "\x00" + c.Software
}

// IsRestrictive reports whether any machine is excluded.
func (c HostConstraint) IsRestrictive() bool { return c.Regions.IsRestrictive() || c.Software != "" }

// Allows reports whether a machine in a region that runs a version of the software may serve.
func (c HostConstraint) Allows(region, software string) bool {
	return c.Regions.Allows(region) && (c.Software == "" || c.Software == software)
}

// IsWithin reports whether the other constraint allows every machine that this one does.
func (c HostConstraint) IsWithin(other HostConstraint) bool {
	if other.Software != "" && other.Software != c.Software {
		return false
	}
	if !c.Regions.IsRestrictive() {
		return !other.Regions.IsRestrictive()
	}
	for _, region := range c.Regions.Regions() {
		if !other.Regions.Allows(region) {
			return false
		}
	}
	return true
}
