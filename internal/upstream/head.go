package upstream

import (
	"net/http"
	"strings"

	"github.com/weldline/weldline/internal/fault"
)

// maxStatus is the highest valid status (RFC 9110, section 15).
const maxStatus = 599

// checkHead returns an error of type fault.Protocol if a head belongs to no response although net/http accepts it.
func checkHead(response *http.Response) error {
	hasEncoding := len(response.TransferEncoding) > 0
	switch {
	case response.StatusCode < http.StatusContinue || response.StatusCode > maxStatus:
		return fault.Protocol.New("the status %q is invalid", response.Status)
	case response.StatusCode == http.StatusSwitchingProtocols:
		return fault.Protocol.New("no request asked to switch protocols")
	case response.StatusCode < http.StatusOK:
		return checkInterim(response.Header, hasEncoding)
	}
	return checkNames(response.Header)
}

// checkInterim checks the header of an interim response, which has no body. net/http takes what follows for the next head.
func checkInterim(header http.Header, hasEncoding bool) error {
	if hasEncoding || header.Get("Content-Length") != "" {
		return fault.Protocol.New("an interim response states a body")
	}
	return checkNames(header)
}

// checkNames checks the names of fields. Blanks are the only invalid bytes in a name that net/http accepts; it ignores what such a
// field says of the body.
func checkNames(header http.Header) error {
	for name := range header {
		if strings.Contains(name, " ") {
			return fault.Protocol.New("the field name %q has a blank", name)
		}
	}
	return nil
}
