// Package explain tells the story of one request from the logs of many nodes.
//
// The problem: an engineer on call has a request's id and the logs. What
// happened to the request is in the lines that carry the id; why it happened is
// in lines of other nodes that do not: that its model was being unloaded, that
// an order had no answer, that there was no leader.
//
// The mechanism: the lines of the request name its model, adapter and machines,
// and give its span. Around it, the lines about these, and those about leaders,
// members, and configurations, are what the system believed. All are put in
// order of time; the cause is told by the request's last line.
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
	// before and after are how much around the request's span is told.
	before = 8 * time.Second
	after  = 2 * time.Second

	maxLineBytes = 1 << 20
)

// Line is one line of a log.
type Line struct {
	Time   time.Time
	Event  string
	Node   string
	Fields map[string]any
	// OfRequest is set for a line that carries the request's id.
	OfRequest bool
}

// Story is what is known of a request.
type Story struct {
	Request string
	Lines   []Line
	// Cause is what ended the request, in words.
	Cause string
}

// Read reads the lines of a log. What stands before the JSON of a line is passed
// over, and so are lines that are none.
func Read(reader io.Reader) ([]Line, error) {
	scanner := bufio.NewScanner(reader)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	var lines []Line
	for scanner.Scan() {
		if line, isLine := parse(scanner.Text()); isLine {
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
	decoder.UseNumber() // Ids of members don't fit into a float.
	if decoder.Decode(&fields) != nil {
		return Line{}, false
	}
	line := Line{Fields: fields, Event: textOf(fields, "msg"), Node: textOf(fields, "node")}
	parsed, err := time.Parse(time.RFC3339Nano, textOf(fields, "time"))
	line.Time = parsed
	return line, err == nil && line.Event != ""
}

// ageOf is how old the request was when the line was written.
func ageOf(line Line) time.Duration {
	number, _ := line.Fields["age_ms"].(json.Number)
	age, err := number.Int64()
	if err != nil {
		return 0
	}
	return time.Duration(age) * time.Millisecond
}

func textOf(fields map[string]any, name string) string {
	text, _ := fields[name].(string)
	return text
}

// Request returns the story of a request, or a NotFound error if no line carries
// its id.
func Request(id string, lines []Line) (*Story, error) {
	subject := newSubject(id, lines)
	if len(subject.own) == 0 {
		return nil, fault.NotFound.New("no line carries the id %s", id)
	}
	story := &Story{Request: id}
	for _, line := range lines {
		line.OfRequest = textOf(line.Fields, "id") == id
		if line.OfRequest || subject.concerns(line) {
			story.Lines = append(story.Lines, line)
		}
	}
	sort.SliceStable(story.Lines, func(i, j int) bool { return story.Lines[i].Time.Before(story.Lines[j].Time) })
	story.Cause = subject.cause(story.Lines)
	return story, nil
}

// subject is what the lines of a request name.
type subject struct {
	own        []Line
	model      string
	adapter    string
	machines   map[string]bool
	start, end time.Time
}

func newSubject(id string, lines []Line) *subject {
	created := &subject{machines: map[string]bool{}}
	for _, line := range lines {
		if textOf(line.Fields, "id") != id {
			continue
		}
		created.own = append(created.own, line)
		created.add(line)
	}
	sort.SliceStable(created.own, func(i, j int) bool { return created.own[i].Time.Before(created.own[j].Time) })
	return created
}

func (s *subject) add(line Line) {
	if model := textOf(line.Fields, "model"); model != "" {
		s.model, s.adapter = model, textOf(line.Fields, "adapter")
	}
	if machine := textOf(line.Fields, "machine"); machine != "" {
		s.machines[machine] = true
	}
	arrived := line.Time
	arrived = arrived.Add(-ageOf(line))
	if s.start.IsZero() || arrived.Before(s.start) {
		s.start = arrived
	}
	if line.Time.After(s.end) {
		s.end = line.Time
	}
}

// general are the events that change what all nodes believe.
var general = map[string]bool{
	"raft_role": true, "membership_changed": true, "declared": true, "serving": true, "upstream_lost": true,
	"upstream_connected": true, "node_started": true, "node_stopped": true, "storage_failed": true, "ingress_draining": true,
	"drain_in_force": true,
}

// stated are the events in which a machine states something about itself, in the answer to any request.
var stated = map[string]bool{"request_rest_requested": true, "request_machine_leaving": true}

// lasting are the events whose effect lasts until the opposite one.
var lasting = map[string]bool{"zone_drained": true, "zone_undrained": true}

func (s *subject) concerns(line Line) bool {
	if lasting[line.Event] {
		return !line.Time.After(s.end)
	}
	if line.Time.Before(s.start.Add(-before)) || line.Time.After(s.end.Add(after)) {
		return false
	}
	if textOf(line.Fields, "id") != "" && !stated[line.Event] {
		return false
	}
	if general[line.Event] {
		return true
	}
	if s.machines[textOf(line.Fields, "machine")] {
		return true
	}
	return s.model != "" && s.namesModel(line)
}

func (s *subject) namesModel(line Line) bool {
	if textOf(line.Fields, "model") == s.model {
		adapter := textOf(line.Fields, "adapter")
		return adapter == "" || adapter == s.adapter
	}
	for _, field := range []string{"replica", "version"} {
		if strings.Contains(textOf(line.Fields, field), "/"+s.model+"@") {
			return true
		}
	}
	return false
}

// cause tells what ended the request, by its last line and what was believed.
func (s *subject) cause(lines []Line) string {
	last := s.own[len(s.own)-1]
	for _, line := range s.own {
		if line.Event != "request_attempt" {
			last = line
		}
	}
	switch last.Event {
	case "request_answered":
		return fmt.Sprintf("answered with %v after %v ms%s", last.Fields["status"], last.Fields["age_ms"], s.waitedFor())
	case "request_cancelled":
		return fmt.Sprintf("its caller left after %v ms%s", last.Fields["age_ms"], s.waitedFor())
	case "request_broken_off":
		return s.brokenOff(last, lines)
	case "request_refused":
		return s.refused(last, lines)
	}
	return "its end is not in these logs; the last that is known is " + last.Event
}

// waitedFor tells if the request had to wait for a place before it was sent.
func (s *subject) waitedFor() string {
	for _, line := range s.own {
		if line.Event == "request_sent" && line.Fields["waited"] == true {
			return fmt.Sprintf(", of which it waited %d ms for a place for %s", ageOf(line).Milliseconds(), s.wanted())
		}
	}
	return ""
}

func (s *subject) wanted() string {
	switch {
	case s.model == "":
		return "its pool"
	case s.adapter == "":
		return "model " + s.model
	}
	return "adapter " + s.adapter + " of model " + s.model
}

func (s *subject) brokenOff(last Line, lines []Line) string {
	switch {
	case last.Fields["caller_left"] == true:
		return fmt.Sprintf("its caller left after %v ms, in the middle of the answer", last.Fields["age_ms"])
	case last.Fields["deadline_passed"] == true:
		return fmt.Sprintf("its time was over after %v ms, in the middle of the answer", last.Fields["age_ms"])
	}
	for _, line := range lines {
		machine := textOf(line.Fields, "machine")
		isEnd := line.Event == "machine_Lost" || line.Event == "machine_Gone"
		if isEnd && s.machines[machine] {
			return fmt.Sprintf("machine %s ended in the middle of the answer (%s)", machine, textOf(line.Fields, "reason"))
		}
	}
	return fmt.Sprintf("its machine broke the answer off: %v", last.Fields["error"])
}

func (s *subject) refused(last Line, lines []Line) string {
	if textOf(last.Fields, "kind") == problem.TypeNoRegion {
		return fmt.Sprintf("refused: no allowed region after %v ms: %v", last.Fields["age_ms"], last.Fields["detail"])
	}
	text := fmt.Sprintf("refused with %v after %v ms: %v", last.Fields["status"], last.Fields["age_ms"], last.Fields["detail"]) + s.heldBack()
	if strings.HasPrefix(textOf(last.Fields, "detail"), v1.ReasonZoneDrained) {
		return text + drainedBy(lines, last.Time)
	}
	if strings.HasPrefix(textOf(last.Fields, "detail"), string(dispatch.RefusedBackoff)) {
		return text + s.restedBy(lines, last)
	}
	if !strings.Contains(textOf(last.Fields, "detail"), "no replica") {
		return text
	}
	var orders, leaders []string
	for _, line := range lines {
		switch line.Event {
		case "order":
			orders = append(orders, s.orderOf(line))
		case "raft_role":
			if textOf(line.Fields, "role") == "leader" {
				leaders = append(leaders, line.Node)
			}
		}
	}
	text += "; wanted: " + s.wanted()
	if len(orders) == 0 {
		text += "; no order for it was given in these logs"
	} else {
		text += "; orders: " + strings.Join(orders, ", ")
	}
	if len(leaders) > 0 {
		text += "; the leader changed to " + strings.Join(leaders, ", ")
	}
	return text
}

// restedBy names the machines that had asked the refusing node for a rest.
func (s *subject) restedBy(lines []Line, refusal Line) string {
	rests := map[string]string{}
	for _, line := range lines {
		if line.Event != "request_rest_requested" || line.Node != refusal.Node || line.Time.After(refusal.Time) {
			continue
		}
		machine := textOf(line.Fields, "machine")
		rests[machine] = fmt.Sprintf("%s %v ms, %d ms before", machine, line.Fields["rest_ms"], refusal.Time.Sub(line.Time).Milliseconds())
	}
	if len(rests) == 0 {
		return "; no request for a rest is in these logs"
	}
	return "; rests asked for: " + strings.Join(slices.Sorted(maps.Values(rests)), ", ")
}

// drainedBy names the zones that were drained at a moment, by orders that were told of in order.
func drainedBy(lines []Line, moment time.Time) string {
	since := map[string]time.Time{}
	for _, line := range lines {
		zone := textOf(line.Fields, "zone")
		switch {
		case line.Time.After(moment):
		case line.Event == "zone_drained" && since[zone].IsZero():
			since[zone] = line.Time
		case line.Event == "zone_undrained":
			delete(since, zone)
		}
	}
	if len(since) == 0 {
		return "; the order for a drain is not in these logs"
	}
	var told []string
	for _, zone := range slices.Sorted(maps.Keys(since)) {
		told = append(told, fmt.Sprintf("%s for %.1f s", zone, moment.Sub(since[zone]).Seconds()))
	}
	return "; drained: " + strings.Join(told, ", ")
}

// heldBack tells how often the request was not sent since there was no permit for a machine that
// warms up or names a limit, and of the machines.
func (s *subject) heldBack() string {
	times := 0
	var machines []string
	for _, line := range s.own {
		if line.Event != "permit_refused" {
			continue
		}
		times++
		if machine := textOf(line.Fields, "machine"); !slices.Contains(machines, machine) {
			machines = append(machines, machine)
		}
	}
	if times == 0 {
		return ""
	}
	return fmt.Sprintf("; held back %d times, as machines warm up or name a limit: %s", times, strings.Join(machines, ", "))
}

// orderOf tells of an order: what, when by the request's start, and its outcome.
func (s *subject) orderOf(line Line) string {
	name := textOf(line.Fields, "model")
	if adapter := textOf(line.Fields, "adapter"); adapter != "" {
		name += "/" + adapter
	}
	return fmt.Sprintf("%s %s at %+.1f s %s", line.Fields["operation"], name, line.Time.Sub(s.start).Seconds(), line.Fields["outcome"])
}

// Write prints a story: a line for each event with the time since the request's
// first line, those of the request itself marked.
func (s *Story) Write(out io.Writer) error {
	var origin time.Time
	for _, line := range s.Lines {
		if line.OfRequest {
			origin = line.Time
			break
		}
	}
	if _, err := fmt.Fprintf(out, "request %s: %s\n", s.Request, s.Cause); err != nil {
		return fault.Internal.Wrap(err, "writing a story")
	}
	for _, line := range s.Lines {
		mark := " "
		if line.OfRequest {
			mark = "*"
		}
		_, err := fmt.Fprintf(out, "%s %+9.3f s  %-16s %-20s %s\n", mark, line.Time.Sub(origin).Seconds(), line.Node, line.Event, details(line))
		if err != nil {
			return fault.Internal.Wrap(err, "writing a story")
		}
	}
	return nil
}

// details prints a line's other fields by name.
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
