package membership_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/weldline/weldline/internal/membership"
	"github.com/weldline/weldline/internal/places"
	"github.com/weldline/weldline/internal/raft"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// TestPlacement runs all steps for the layouts in testdata/spread: control nodes by zone, the
// initial voters, and the required tolerance. A node is named by its zone and a suffix; the first
// voter is the leader, and all nodes have caught up unless listed as silent.
func TestPlacement(t *testing.T) {
	datadriven.RunTest(t, "testdata/spread", func(t *testing.T, d *datadriven.TestData) string {
		return newLayout(t, d).settle()
	})
}

// layout is a membership without a log.
type layout struct {
	t      *testing.T
	input  membership.Input
	names  map[uint64]string
	silent map[string]bool
	out    strings.Builder
}

// newLayout parses lines "zone region node..." and the arguments voters, machines, zones, regions
// and silent.
func newLayout(t *testing.T, d *datadriven.TestData) *layout {
	created := &layout{t: t, names: map[uint64]string{}, silent: map[string]bool{}}
	regions, first, machines := map[string]string{}, map[string]bool{}, 0
	for _, argument := range d.CmdArgs {
		for _, value := range argument.Vals {
			switch argument.Key {
			case "voters":
				first[value] = true
			case "silent":
				created.silent[value] = true
			}
		}
	}
	policy := membership.Policy{ReplaceAfter: replaceAfter, RemoveLearnerAfter: time.Minute}
	d.ScanArgs(t, "machines", &machines)
	d.MaybeScanArgs(t, "zones", &policy.Zones)
	d.MaybeScanArgs(t, "regions", &policy.Regions)
	policy.Voters = 2*machines + 1
	current := &wirepb.Membership{}
	for line := range strings.Lines(d.Input) {
		fields := strings.Fields(line)
		regions[fields[0]] = fields[1]
		for _, node := range fields[2:] {
			id := uint64(len(created.names) + 1)
			created.names[id] = node
			current.Addresses = append(current.Addresses, &wirepb.MemberAddress{Id: id, Address: node, Zone: fields[0]})
			if first[node] {
				current.Voters = append(current.Voters, id)
			} else {
				current.Learners = append(current.Learners, id)
			}
		}
	}
	policy.Places = places.NewZoneMap(regions)
	created.input = membership.Input{Current: current, Policy: policy, Status: raft.Status{ID: current.GetVoters()[0], Last: 9}}
	return created
}

// settle runs steps until there is none left and checks each.
func (l *layout) settle() string {
	for range 20 {
		l.input.Peers = map[uint64]raft.PeerState{}
		for id, name := range l.names {
			state := raft.PeerState{Match: 9}
			if l.silent[name] {
				state.InactiveFor = 2 * replaceAfter
			}
			l.input.Peers[id] = state
		}
		next := membership.Next(l.input)
		if next == nil {
			return l.out.String() + l.summary()
		}
		l.check(next)
		l.input.Current = next
		l.rejoin()
	}
	l.t.Error("the steps do not terminate")
	return l.out.String()
}

// check checks that a step changes one voter and leaves a quorum of live ones, and prints the
// change.
func (l *layout) check(next *wirepb.Membership) {
	before, after := l.input.Current.GetVoters(), next.GetVoters()
	live := 0
	for _, id := range after {
		if !slices.Contains(before, id) {
			fmt.Fprintf(&l.out, "+%s ", l.names[id])
		}
		if !l.silent[l.names[id]] {
			live++
		}
	}
	changes := 0
	for _, id := range before {
		if !slices.Contains(after, id) {
			changes++
			fmt.Fprintf(&l.out, "-%s ", l.names[id])
		}
	}
	if changes+len(after)-len(before)+changes > 1 || live < len(after)/2+1 {
		l.t.Errorf("step from voters %v to %v, %d of them live", before, after, live)
	}
}

// rejoin makes removed live nodes ask to join.
func (l *layout) rejoin() {
	l.input.Joins = nil
	for id, name := range l.names {
		known := slices.ContainsFunc(l.input.Current.GetAddresses(), func(held *wirepb.MemberAddress) bool { return held.GetId() == id })
		if !known && !l.silent[name] {
			zone, _, _ := strings.Cut(name, ".")
			l.input.Joins = append(l.input.Joins, &wirepb.MemberAddress{Id: id, Address: name, Zone: zone})
		}
	}
}

// summary returns the voters by zone and their tolerance.
func (l *layout) summary() string {
	zones := map[string]int{}
	for _, id := range l.input.Current.GetVoters() {
		zone, _, _ := strings.Cut(l.names[id], ".")
		zones[zone]++
	}
	var out strings.Builder
	if l.out.Len() > 0 {
		out.WriteString("\n")
	}
	fmt.Fprintf(&out, "%d voters:", len(l.input.Current.GetVoters()))
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		fmt.Fprintf(&out, " %s=%d", zone, zones[zone])
	}
	tolerance := membership.ToleranceOf(l.input.Current, l.input.Policy)
	fmt.Fprintf(&out, "\nbears machines=%d zones=%d regions=%d\n", tolerance.Machines, tolerance.Zones, tolerance.Regions)
	return out.String()
}
