// Package explain reconstructs what happened to one request from the logs of
// several nodes.
//
// A timeline has the lines that carry the request's id, the lines about its
// model, adapter and machines around that time, and cluster-wide events such as
// leader changes. The cause is derived from the request's last line.
package explain

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"sort"
	"strings"
	"time"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/dispatch"
	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/problem"
)

const (
	// Related lines are included from contextBefore the start of the request
	// until contextAfter its end.
	contextBefore = 8 * time.Second
	contextAfter  = 2 * time.Second

	maxLineBytes = 1 << 20
)

// Line is one log line.
type Line struct {
	Time   time.Time
	Event  string
	Node   string
	Fields map[string]any
	// OfRequest is set if the line carries the request's id.
	OfRequest bool
}

// Timeline is the reconstructed history of a request.
type Timeline struct {
	Request string
	Lines   []Line
	// Cause describes how the request ended.
	Cause string
}

// Read parses a log. It ignores text before a line's JSON object, and lines
// without one.
func Read(reader io.Reader) ([]Line, error) {
	scanner := bufio.NewScanner(reader)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	var lines []Line
	for scanner.Scan() {
		if line, ok := parse(scanner.Text()); ok {
			lines = append(lines, line)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, fault.Invalid.Wrap(err, "reading a log")
	}
	return lines, nil
}

func parse(text string) (Line, bool) {
	_, object, found := strings.Cut(text, "{")
	if !found {
		return Line{}, false
	}
	fields := map[string]any{}
	decoder := json.NewDecoder(strings.NewReader("{" + object))
	decoder.UseNumber() // Member ids don't fit into a float64.
	if decoder.Decode(&fields) != nil {
		return Line{}, false
	}
	line := Line{Fields: fields, Event: stringField(fields, "msg"), Node: stringField(fields, "node")}
	parsed, err := time.Parse(time.RFC3339Nano, stringField(fields, "time"))
	line.Time = parsed
	return line, err == nil && line.Event != ""
}

// requestAge returns the age of the request when the line was written.
func requestAge(line Line) time.Duration {
	number, _ := line.Fields["age_ms"].(json.Number)
	age, err := number.Int64()
	if err != nil {
		return 0
	}
	return time.Duration(age) * time.Millisecond
}

func stringField(fields map[string]any, name string) string {
	text, _ := fields[name].(string)
	return text
}

// BuildTimeline returns the timeline of a request, or a NotFound error if no line
// carries its id.
func BuildTimeline(id string, lines []Line) (*Timeline, error) {
	subject := newSubject(id, lines)
	if len(subject.ownLines) == 0 {
		return nil, fault.NotFound.New("no log line has the request id %s", id)
	}
	timeline := &Timeline{Request: id}
	for _, line := range lines {
		line.OfRequest = stringField(line.Fields, "id") == id
		if line.OfRequest || subject.isRelated(line) {
			timeline.Lines = append(timeline.Lines, line)
		}
	}
	sort.SliceStable(timeline.Lines, func(i, j int) bool { return timeline.Lines[i].Time.Before(timeline.Lines[j].Time) })
	timeline.Cause = subject.cause(timeline.Lines)
	return timeline, nil
}

// subject is the request with the model, adapter and machines that its lines name.
type subject struct {
	ownLines   []Line
	model      string
	adapter    string
	machines   map[string]bool
	start, end time.Time
}

func newSubject(id string, lines []Line) *subject {
	created := &subject{machines: map[string]bool{}}
	for _, line := range lines {
		if stringField(line.Fields, "id") != id {
			continue
		}
		created.ownLines = append(created.ownLines, line)
		created.add(line)
	}
	sort.SliceStable(created.ownLines, func(i, j int) bool { return created.ownLines[i].Time.Before(created.ownLines[j].Time) })
	return created
}

func (s *subject) add(line Line) {
	if model := stringField(line.Fields, "model"); model != "" {
		s.model, s.adapter = model, stringField(line.Fields, "adapter")
	}
	if machine := stringField(line.Fields, "machine"); machine != "" {
		s.machines[machine] = true
	}
	arrived := line.Time
	arrived = arrived.Add(-requestAge(line))
	if s.start.IsZero() || arrived.Before(s.start) {
		s.start = arrived
	}
	if line.Time.After(s.end) {
		s.end = line.Time
	}
}

// clusterEvents are events that can affect any request.
var clusterEvents = map[string]bool{
	"raft_role": true, "membership_changed": true, "declared": true, "serving": true, "upstream_lost": true,
	"upstream_connected": true, "node_started": true, "node_stopped": true, "storage_failed": true, "ingress_draining": true, "ingress_drained": true,
	"drain_in_force": true, "router_isolated": true, "router_reconnected": true,
}

// machineEvents carry the id of some request, but describe the state of the machine that responded to it.
var machineEvents = map[string]bool{"request_rest_requested": true, "request_machine_leaving": true}

// persistentEvents stay in effect until the opposite event, however long before the request they occurred.
var persistentEvents = map[string]bool{"zone_drained": true, "zone_undrained": true}

// isRelated reports whether a line may explain what happened to the request.
func (s *subject) isRelated(line Line) bool {
	if persistentEvents[line.Event] {
		return !line.Time.After(s.end)
	}
	if line.Time.Before(s.start.Add(-contextBefore)) || line.Time.After(s.end.Add(contextAfter)) {
		return false
	}
	if stringField(line.Fields, "id") != "" && !machineEvents[line.Event] {
		return false
	}
	if clusterEvents[line.Event] {
		return true
	}
	if s.machines[stringField(line.Fields, "machine")] {
		return true
	}
	return s.model != "" && s.namesModel(line)
}

func (s *subject) namesModel(line Line) bool {
	if stringField(line.Fields, "model") == s.model {
		adapter := stringField(line.Fields, "adapter")
		return adapter == "" || adapter == s.adapter
	}
	for _, field := range []string{"replica", "version"} {
		if strings.Contains(stringField(line.Fields, field), "/"+s.model+"@") {
			return true
		}
	}
	return false
}

// cause describes how the request ended, and which routers it was forwarded to.
func (s *subject) cause(lines []Line) string {
	last := s.ownLines[len(s.ownLines)-1]
	for _, line := range s.ownLines {
		if line.Event != "request_attempt" && !isForward(line) {
			last = line
		}
	}
	return s.describeEnd(last, lines) + s.describeForwards()
}

// isForward reports whether a line ends an attempt to have another router serve the request.
func isForward(line Line) bool {
	return line.Event == "request_forward_attempt" || line.Event == "request_forward_last_resort"
}

// describeForwards names the routers that the request was forwarded to.
func (s *subject) describeForwards() string {
	var forwards []string
	for _, line := range s.ownLines {
		if isForward(line) {
			forwards = append(forwards, fmt.Sprintf("%s (%v)", stringField(line.Fields, "router"), line.Fields["end"]))
		}
	}
	if len(forwards) == 0 {
		return ""
	}
	return "; forwarded for want of a path to: " + strings.Join(forwards, ", ")
}

// describeEnd describes how the request ended, from its last line and the related lines.
func (s *subject) describeEnd(last Line, lines []Line) string {
	switch last.Event {
	case "request_answered":
		return fmt.Sprintf("answered with %v after %v ms%s", last.Fields["status"], last.Fields["age_ms"], s.describeWait())
	case "request_cancelled":
		return fmt.Sprintf("caller disconnected after %v ms%s", last.Fields["age_ms"], s.describeWait())
	case "request_broken_off":
		return s.describeInterruption(last, lines)
	case "request_refused":
		return s.describeRefusal(last, lines)
	}
	return "its outcome is not in these logs; last event: " + last.Event
}

// describeWait describes how long the request waited for capacity before it was sent.
func (s *subject) describeWait() string {
	for _, line := range s.ownLines {
		if line.Event == "request_sent" && line.Fields["waited"] == true {
			return fmt.Sprintf(", including a wait of %d ms for capacity of %s", requestAge(line).Milliseconds(), s.target())
		}
	}
	return ""
}

func (s *subject) target() string {
	switch {
	case s.model == "":
		return "its pool"
	case s.adapter == "":
		return "model " + s.model
	}
	return "adapter " + s.adapter + " of model " + s.model
}

func (s *subject) describeInterruption(last Line, lines []Line) string {
	switch {
	case last.Fields["caller_left"] == true:
		return fmt.Sprintf("caller disconnected after %v ms, during the response", last.Fields["age_ms"])
	case last.Fields["deadline_passed"] == true:
		return fmt.Sprintf("deadline exceeded after %v ms, during the response", last.Fields["age_ms"])
	}
	for _, line := range lines {
		machine := stringField(line.Fields, "machine")
		isEnd := line.Event == "machine_Lost" || line.Event == "machine_Gone"
		if isEnd && s.machines[machine] {
			return fmt.Sprintf("machine %s terminated during the response (%s)", machine, stringField(line.Fields, "reason"))
		}
	}
	return fmt.Sprintf("the machine interrupted the response: %v", last.Fields["error"])
}

func (s *subject) describeRefusal(last Line, lines []Line) string {
	if stringField(last.Fields, "kind") == problem.TypeNoRegion {
		return fmt.Sprintf("refused: no allowed region after %v ms: %v", last.Fields["age_ms"], last.Fields["detail"])
	}
	text := fmt.Sprintf("refused with %v after %v ms: %v", last.Fields["status"], last.Fields["age_ms"], last.Fields["detail"]) + s.describePermits()
	if strings.HasPrefix(stringField(last.Fields, "detail"), v1.ReasonZoneDrained) {
		return text + describeDrains(lines, last.Time)
	}
	if strings.HasPrefix(stringField(last.Fields, "detail"), string(dispatch.RefusedBackoff)) {
		return text + s.describeBackoff(lines, last)
	}
	if !strings.Contains(stringField(last.Fields, "detail"), "no replica") {
		return text
	}
	var orders, leaders []string
	for _, line := range lines {
		switch line.Event {
		case "order":
			orders = append(orders, s.describeOrder(line))
		case "raft_role":
			if stringField(line.Fields, "role") == "leader" {
				leaders = append(leaders, line.Node)
			}
		}
	}
	text += "; requested: " + s.target()
	if len(orders) == 0 {
		text += "; no order for it is in these logs"
	} else {
		text += "; orders: " + strings.Join(orders, ", ")
	}
	if len(leaders) > 0 {
		text += "; the leader changed to " + strings.Join(leaders, ", ")
	}
	return text
}

// describeBackoff names the machines that had asked the refusing node to back off.
func (s *subject) describeBackoff(lines []Line, refusal Line) string {
	backoffs := map[string]string{}
	for _, line := range lines {
		if line.Event != "request_rest_requested" || line.Node != refusal.Node || line.Time.After(refusal.Time) {
			continue
		}
		machine := stringField(line.Fields, "machine")
		backoffs[machine] = fmt.Sprintf("%s %v ms, %d ms before", machine, line.Fields["rest_ms"], refusal.Time.Sub(line.Time).Milliseconds())
	}
	if len(backoffs) == 0 {
		return "; no request to back off is in these logs"
	}
	return "; backoff requested: " + strings.Join(slices.Sorted(maps.Values(backoffs)), ", ")
}

// describeDrains names the zones that were drained at the given time. Lines must be sorted by time.
func describeDrains(lines []Line, at time.Time) string {
	since := map[string]time.Time{}
	for _, line := range lines {
		zone := stringField(line.Fields, "zone")
		switch {
		case line.Time.After(at):
		case line.Event == "zone_drained" && since[zone].IsZero():
			since[zone] = line.Time
		case line.Event == "zone_undrained":
			delete(since, zone)
		}
	}
	if len(since) == 0 {
		return "; no drain of a zone is in these logs"
	}
	var descriptions []string
	for _, zone := range slices.Sorted(maps.Keys(since)) {
		descriptions = append(descriptions, fmt.Sprintf("%s for %.1f s", zone, at.Sub(since[zone]).Seconds()))
	}
	return "; drained: " + strings.Join(descriptions, ", ")
}

// describePermits describes how often the request was refused a permit, and for which machines.
// Permits limit requests to machines that warm up or have announced a limit.
func (s *subject) describePermits() string {
	count := 0
	var machines []string
	for _, line := range s.ownLines {
		if line.Event != "permit_refused" {
			continue
		}
		count++
		if machine := stringField(line.Fields, "machine"); !slices.Contains(machines, machine) {
			machines = append(machines, machine)
		}
	}
	if count == 0 {
		return ""
	}
	return fmt.Sprintf("; permit refused %d times by machines that warm up or have a limit: %s", count, strings.Join(machines, ", "))
}

// describeOrder formats an order with its time relative to the start of the request and its outcome.
func (s *subject) describeOrder(line Line) string {
	name := stringField(line.Fields, "model")
	if adapter := stringField(line.Fields, "adapter"); adapter != "" {
		name += "/" + adapter
	}
	return fmt.Sprintf("%s %s at %+.1f s %s", line.Fields["operation"], name, line.Time.Sub(s.start).Seconds(), line.Fields["outcome"])
}

// Write prints the cause and one row per line, with the time relative to the
// first line of the request. Lines of the request itself are marked with "*".
func (t *Timeline) Write(out io.Writer) error {
	var origin time.Time
	for _, line := range t.Lines {
		if line.OfRequest {
			origin = line.Time
			break
		}
	}
	if _, err := fmt.Fprintf(out, "request %s: %s\n", t.Request, t.Cause); err != nil {
		return fault.Internal.Wrap(err, "writing the timeline")
	}
	for _, line := range t.Lines {
		mark := " "
		if line.OfRequest {
			mark = "*"
		}
		_, err := fmt.Fprintf(out, "%s %+9.3f s  %-16s %-20s %s\n", mark, line.Time.Sub(origin).Seconds(), line.Node, line.Event, details(line))
		if err != nil {
			return fault.Internal.Wrap(err, "writing the timeline")
		}
	}
	return nil
}

// details formats the remaining fields of a line, sorted by name.
func details(line Line) string {
	skipped := map[string]bool{"time": true, "level": true, "msg": true, "node": true, "id": true}
	var names []string
	for name := range line.Fields {
		if !skipped[name] {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	parts := make([]string, 0, len(names))
	for _, name := range names {
		if value := line.Fields[name]; value != "" && value != nil {
			parts = append(parts, fmt.Sprintf("%s=%v", name, value))
		}
	}
	return strings.Join(parts, " ")
}
