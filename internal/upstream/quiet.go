package upstream

import "github.com/weldline/weldline/internal/tcpopt"

// hasNoInput reports whether nothing was received on an idle connection: neither data, which would
// belong to no request, nor EOF.
func (c *conn) hasNoInput() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	if tcpopt.Socket(c.network) == nil {
		return true
	}
	raw := rawSocket(c.network)
	if raw == nil {
		return false
	}
	empty := false
	err := raw.Read(func(descriptor uintptr) bool {
		empty = !hasInput(descriptor)
		return true
	})
	return err == nil && empty
}
