package upstream

import (
	"net/http"

	"github.com/weldline/weldline/internal/fault"
)

// checkHead returns an error of type fault.Protocol if net/http accepts a head that belongs to no response. Interim responses are
// valid, except for one that switches protocols: no request asks for it.
func checkHead(response *http.Response) error {
	if response.StatusCode < http.StatusContinue || response.StatusCode == http.StatusSwitchingProtocols {
		return fault.Protocol.New("the status %q is invalid", response.Status)
	}
	return nil
}
