package ingress_test

import (
	"fmt"
	"strings"
	"testing"

	v1 "github.com/weldline/weldline/api/v1"
)

// maxPartCrashes is the number of machines that requests with one part in their prompts may crash.
const maxPartCrashes = 5

// sendWithParts sends a request that differs from all others and has the given parts in its prompt.
func (f *crashFleet) sendWithParts(number int, parts ...string) reply {
	id := fmt.Sprintf("request-%d", number)
	got := f.routers[number%len(f.routers)].send("POST", "/a/x", id, "body of "+id, headerParts, strings.Join(parts, " "))
	f.settle()
	return got
}

// TestPromptPartThatCrashesMachinesIsRefused guards against requests that differ from each other but share one
// part of their prompts, and crash one machine after the other.
func TestPromptPartThatCrashesMachinesIsRefused(t *testing.T) {
	tests := []struct {
		name  string
		parts func(number int) []string
	}{
		{"after a shared head", func(int) []string { return []string{"head", crashPart} }},
		{"as the head", func(int) []string { return []string{crashPart} }},
		{"after heads that differ", func(number int) []string { return []string{fmt.Sprintf("head-%d", number%3), crashPart} }},
		{"before parts that differ", func(number int) []string { return []string{"head", crashPart, fmt.Sprintf("part-%d", number)} }},
	}
	for _, test := range tests {
		for _, response := range []string{"framed", "unframed", "unframed and empty"} {
			t.Run(test.name+", "+response, func(t *testing.T) {
				fleet := newCrashFleet(t, 4, 16, v1.RouteStream, 1)
				fleet.unframed.Store(response != "framed")
				fleet.noEvent.Store(response == "unframed and empty")
				for number := range 14 {
					fleet.sendWithParts(2*number, test.parts(number)...)
					if got := fleet.sendWithParts(2*number+1, "head", "sound"); got.status != 200 || got.err != nil {
						t.Errorf("a sound request with the same head is answered with %d %q (%v)", got.status, got.body, got.err)
					}
				}
				if ended := fleet.crashed.Load(); ended > maxPartCrashes {
					t.Errorf("requests with one part crashed %d machines, more than %d", ended, maxPartCrashes)
				}
			})
		}
	}
}
