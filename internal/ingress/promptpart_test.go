package ingress_test

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

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

// quarantinePart has enough machines crash that crashPart is quarantined. Sound requests with the same head complete
// in between.
func (f *crashFleet) quarantinePart() {
	for number := range maxPartCrashes {
		f.sendWithParts(2*number, "head", crashPart)
		f.sendWithParts(2*number+1, "head")
	}
}

func TestRequestWithQuarantinedPartRefusedAsNotRun(t *testing.T) {
	fleet := newCrashFleet(t, 3, 12, v1.RouteStream, 1)
	fleet.quarantinePart()
	got := fleet.sendWithParts(20, crashPart, "head-2")
	if got.status != 503 || !strings.Contains(got.body, "/quarantined") || !strings.Contains(got.body, crashPart) || !strings.Contains(got.body, `"outcome":"not-run"`) {
		t.Errorf("answered with %d %q", got.status, got.body)
	}
}

// TestQuarantinedPartRefusedByNewRouter guards against routers that forget a quarantine as they start.
func TestQuarantinedPartRefusedByNewRouter(t *testing.T) {
	fleet := newCrashFleet(t, 3, 12, v1.RouteStream, 1)
	fleet.quarantinePart()
	ended := fleet.crashed.Load()
	started := newDeployment(t)
	started.serve(v1.RouteStream, 1, 10*time.Second, fleet.newMachine(t).address)
	fleet.log.mutex.Lock()
	events, err := fleet.log.state.EventsAfter(0)
	fleet.log.mutex.Unlock()
	if err != nil {
		t.Fatal(err)
	}
	started.apply(events...)
	got := started.send("POST", "/a/x", "id", "body", headerParts, crashPart)
	if got.status != 503 || !strings.Contains(got.body, "/quarantined") || fleet.crashed.Load() != ended {
		t.Errorf("answered with %d %q", got.status, got.body)
	}
}

// TestRequestWithQuarantinedPartRefusedBeforeItsBody guards against reading the body of a request that can't be
// served.
func TestRequestWithQuarantinedPartRefusedBeforeItsBody(t *testing.T) {
	fleet := newCrashFleet(t, 1, 12, v1.RouteStream, 1)
	fleet.quarantinePart()
	connection, err := net.Dial("tcp", fleet.routers[0].server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = connection.Close() }()
	_ = connection.SetDeadline(time.Now().Add(long))
	write(connection, "POST /a/x HTTP/1.1\r\nHost: shop.example\r\n"+headerID+": id\r\n"+headerParts+": "+crashPart+"\r\nContent-Length: 900\r\n\r\n")
	if status, body, _ := readRaw(connection); status != 503 || !strings.Contains(body, "/quarantined") {
		t.Errorf("answered with %d %q", status, body)
	}
}

// TestPartThatCompletesIsCleared guards against holding crashes against a part that does not always crash machines, and
// against taking an error response for a completed run.
func TestPartThatCompletesIsCleared(t *testing.T) {
	for _, unframed := range []bool{false, true} {
		fleet := newCrashFleet(t, 2, 12, v1.RouteStream, 1)
		fleet.unframed.Store(unframed)
		fleet.sendWithParts(0, crashPart)
		fleet.fail.Store(true)
		fleet.sendWithParts(1, crashPart)
		fleet.fail.Store(false)
		fleet.sendWithParts(2, crashPart)
		fleet.complete.Store(true)
		if !unframed && len(fleet.partSuspects()) == 0 {
			t.Error("an error response cleared the part")
		}
		if got := fleet.sendWithParts(3, crashPart); got.status != 200 {
			t.Errorf("answered with %d %q", got.status, got.body)
		}
		for len(fleet.partSuspects()) != 0 {
			time.Sleep(time.Millisecond)
		}
	}
}

// partSuspects returns the records of prompt parts.
func (f *crashFleet) partSuspects() (parts []v1.SuspectSpec) {
	for _, suspect := range f.suspects() {
		if suspect.PromptPart != "" {
			parts = append(parts, suspect)
		}
	}
	return parts
}

// TestHeadOfCrashingRequestsStaysServed guards against refusing the sound requests that share a part with the harmful
// ones, while no sound request completes in between.
func TestHeadOfCrashingRequestsStaysServed(t *testing.T) {
	fleet := newCrashFleet(t, 3, 12, v1.RouteStream, 1)
	for number := range maxPartCrashes {
		fleet.sendWithParts(number, "head", crashPart)
	}
	for number := range 6 {
		if got := fleet.sendWithParts(20+number, "head", "sound"); got.status != 200 {
			t.Errorf("answered with %d %q", got.status, got.body)
		}
	}
	if got := fleet.sendWithParts(30, crashPart); got.status != 503 {
		t.Errorf("a request with the harmful part is answered with %d %q", got.status, got.body)
	}
}
