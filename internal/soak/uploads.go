package soak

import (
	"fmt"
	"strings"
	"time"
)

// Upload is a request on a route that is not declared, whose body is the text of other requests and is sent slowly.
type Upload struct {
	ID     string
	Router string
	Sent   time.Duration
	// Statuses are those of the responses on its connection.
	Statuses []int
}

// EmbeddedPrefix begins the IDs of requests that stand in the bodies of uploads.
const EmbeddedPrefix = "embedded-"

// misreadUploads finds uploads of which a part was taken for requests: ones that machines ran, or that were answered.
func misreadUploads(history *History, _ Bounds, _ []Disturbance) []string {
	var found []string
	for _, arrival := range history.Arrivals {
		if strings.HasPrefix(arrival.Request, EmbeddedPrefix) {
			found = append(found, fmt.Sprintf("machine %s ran %s at %s, which stands in a body", arrival.Machine, arrival.Request, arrival.At))
		}
	}
	for _, upload := range history.Uploads {
		if len(upload.Statuses) > 1 || len(upload.Statuses) == 1 && upload.Statuses[0] < 300 {
			found = append(found, fmt.Sprintf("upload %s to %s at %s got the responses %v", upload.ID, upload.Router, upload.Sent, upload.Statuses))
		}
	}
	return found
}
