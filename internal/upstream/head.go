package upstream

import (
	"net/http"
	"strings"

	"github.com/weldline/weldline/internal/fault"
)

// maxStatus is the highest valid status (RFC 9110, section 15).
const maxStatus = 599

// checkHead returns an error of type fault.Protocol if a head belongs to no response although net/http accepts it. Interim
// responses are valid, except for one that switches protocols: no request asks for it.
func checkHead(response *http.Response) error {
	if response.StatusCode < http.StatusContinue || response.StatusCode > maxStatus || response.StatusCode == http.StatusSwitchingProtocols {
		return fault.Protocol.New("the status %q is invalid", response.Status)
	}
	for name := range response.Header {
		// Blanks are the only invalid bytes in a name that net/http accepts. It ignores what such a field says of the body.
		if strings.Contains(name, " ") {
			return fault.Protocol.New("the field name %q has a blank", name)
		}
	}
	return nil
}
