package policysim

import (
	"testing"
	"time"

	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/virtualtime"
)

// shortScenario is one day of a shipped scenario with little traffic.
func shortScenario(t *testing.T, name string) *Scenario {
	t.Helper()
	scenario, err := Load(name)
	if err != nil {
		t.Fatal(err)
	}
	scenario.Days, scenario.WarmupDays = 1, 0
	for position := range scenario.Services {
		scenario.Services[position].SessionsPerDay /= 20
	}
	return scenario
}

// morning is the part of a day that tests run: it has the bursts in it.
const morning = 7 * time.Hour

// TestPoliciesKeepThePromises runs policies with the faults switched on: each
// request ends, and nothing that must hold is broken.
func TestPoliciesKeepThePromises(t *testing.T) {
	for _, name := range []string{"seatdesk", "ramlochun"} {
		scenario := shortScenario(t, name)
		for _, policyName := range []string{DefaultPolicy, "fixed-10m", "round-robin", "clairvoyant"} {
			policy, err := PolicyByName(policyName)
			if err != nil {
				t.Fatal(err)
			}
			result := runFor(scenario, 1, policy, morning)
			if result.Violations() != 0 || result.Requests.Answered == 0 {
				t.Errorf("%s %s: %+v", name, policyName, result)
			}
			ended := result.Requests.Answered + result.Requests.RefusedNotRun + result.Requests.Unknown
			if ended != result.Requests.Total {
				t.Errorf("%s %s: %d of %d requests ended", name, policyName, ended, result.Requests.Total)
			}
		}
	}
}

// TestOverloadKeepsGoodput offers twice what the replicas can do: as many are
// answered as at capacity, and the rest is told truthfully that it did not run.
func TestOverloadKeepsGoodput(t *testing.T) {
	scenario, err := Load("overload")
	if err != nil {
		t.Fatal(err)
	}
	policy, err := PolicyByName(DefaultPolicy)
	if err != nil {
		t.Fatal(err)
	}
	const span = 30 * time.Minute
	full := runFor(scenario, 1, policy, span).Requests
	twice := runFor(scenario.WithTraffic(2), 1, policy, span).Requests
	if float64(twice.Answered) < 0.95*float64(full.Answered) {
		t.Errorf("answered %+v at capacity, %+v at twice", full, twice)
	}
	if float64(twice.Unknown) > 0.02*float64(twice.Total) {
		t.Errorf("%d of %d end as unknown", twice.Unknown, twice.Total)
	}
}

// TestSameSeedSameResult also shows that another seed has another result.
func TestSameSeedSameResult(t *testing.T) {
	scenario := shortScenario(t, "seatdesk")
	policy, err := PolicyByName(DefaultPolicy)
	if err != nil {
		t.Fatal(err)
	}
	first, second, other := runFor(scenario, 1, policy, morning), runFor(scenario, 1, policy, morning), runFor(scenario, 2, policy, morning)
	first.Seconds, second.Seconds, other.Seconds = 0, 0, 0
	if first != second {
		t.Errorf("%+v, then %+v", first, second)
	}
	other.Seed = first.Seed
	if first == other {
		t.Error("another seed had the same result")
	}
}

// TestBadScenariosNameTheField lists what may be wrong with a scenario.
func TestBadScenariosNameTheField(t *testing.T) {
	good := "name: x\ndays: 1\nrouters: 1\nmachines: {count: 1, accelerators: 1, acceleratorGiB: 80, memoryGBps: 1, diskGBps: 1}\n" +
		"store: {loadsPerSecond: 1, concurrentLoads: 1, gBps: 1}\n"
	service := "services: [{name: s, models: 1, weightGiB: [1], accelerators: 1, maxConcurrent: 1, answerTokens: 1, deadline: 1s, coldStartWeight: 1}]\n"
	for content, field := range map[string]string{
		good + service:                   "",
		good:                             "services",
		good + "services: [{name: s}]\n": "services[0].weightGiB",
		"nam: x\n":                       "scenario",
		"name: x\ndays: 0\n":             "days",
		good + service + "faults: {dieWhileLoading: 2}\n": "faults.dieWhileLoading",
	} {
		_, err := Parse([]byte(content))
		if fault.FieldOf(err) != field || (err != nil) != (field != "") {
			t.Errorf("%q: %v", content, err)
		}
	}
	if _, err := PolicyByName("lazy"); fault.FieldOf(err) != "policy" {
		t.Error(err)
	}
}

// TestStoreSharesItsBandwidth loads more at once than the store serves at full
// speed, and slows it down.
func TestStoreSharesItsBandwidth(t *testing.T) {
	var clock virtualtime.Scheduler
	store := newWeightStore(&clock, StoreScenario{LoadsPerSecond: 1000, ConcurrentLoads: 2, GBps: 1})
	var finished []time.Duration
	for range 4 {
		store.load(1e9, func() bool { return true }, func() { finished = append(finished, clock.Now().Round(10*time.Millisecond)) })
	}
	store.load(1e9, func() bool { return false }, func() { t.Error("a load that was not wanted any more came") })
	clock.RunUntil(time.Minute)
	for _, at := range finished {
		if at != 2*time.Second {
			t.Errorf("four at once over two: %v", finished)
		}
	}
	store.setSlowness(4)
	began := clock.Now()
	store.load(1e9, func() bool { return true }, func() { finished = append(finished, clock.Now()-began) })
	clock.RunUntil(2 * time.Minute)
	if len(finished) != 5 || finished[4].Round(10*time.Millisecond) != 4*time.Second {
		t.Errorf("slowed down to a quarter: %v", finished)
	}
}
