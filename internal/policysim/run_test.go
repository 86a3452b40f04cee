package policysim

import (
	"testing"
	"time"

	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/virtualtime"
)

// shortScenario returns one day of an embedded scenario with reduced traffic.
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

// testDuration covers the bursts of the scenarios.
const testDuration = 7 * time.Hour

// TestPoliciesKeepInvariants guards against requests without an outcome and violated guarantees under
// faults.
func TestPoliciesKeepInvariants(t *testing.T) {
	for _, name := range []string{"seatdesk", "ramlochun"} {
		scenario := shortScenario(t, name)
		for _, policyName := range []string{DefaultPolicy, "fixed-10m", "round-robin", "clairvoyant"} {
			policy, err := PolicyByName(policyName)
			if err != nil {
				t.Fatal(err)
			}
			result := runUntil(scenario, 1, policy, testDuration)
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

// TestOverloadKeepsGoodput guards against a loss of goodput, and against unknown outcomes, at twice
// the capacity.
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
	atCapacity := runUntil(scenario, 1, policy, span).Requests
	overloaded := runUntil(scenario.WithTraffic(2), 1, policy, span).Requests
	if float64(overloaded.Answered) < 0.95*float64(atCapacity.Answered) {
		t.Errorf("outcomes at capacity: %+v, at twice the capacity: %+v", atCapacity, overloaded)
	}
	if float64(overloaded.Unknown) > 0.02*float64(overloaded.Total) {
		t.Errorf("%d of %d requests ended with an unknown outcome", overloaded.Unknown, overloaded.Total)
	}
}

// TestResultsAreDeterministic requires equal results for equal seeds and another result for another
// seed.
func TestResultsAreDeterministic(t *testing.T) {
	scenario := shortScenario(t, "seatdesk")
	policy, err := PolicyByName(DefaultPolicy)
	if err != nil {
		t.Fatal(err)
	}
	first, second, other := runUntil(scenario, 1, policy, testDuration), runUntil(scenario, 1, policy, testDuration), runUntil(scenario, 2, policy, testDuration)
	first.Seconds, second.Seconds, other.Seconds = 0, 0, 0
	if first != second {
		t.Errorf("results differ for the same seed: %+v and %+v", first, second)
	}
	other.Seed = first.Seed
	if first == other {
		t.Error("two seeds gave the same result")
	}
}

// TestScenarioValidation guards against errors that do not name the invalid field.
func TestScenarioValidation(t *testing.T) {
	valid := "name: x\ndays: 1\nrouters: 1\nmachines: {count: 1, accelerators: 1, acceleratorGiB: 80, memoryGBps: 1, diskGBps: 1}\n" +
		"store: {loadsPerSecond: 1, concurrentLoads: 1, gBps: 1}\n"
	service := "services: [{name: s, models: 1, weightGiB: [1], accelerators: 1, maxConcurrent: 1, answerTokens: 1, deadline: 1s, coldStartWeight: 1}]\n"
	for content, field := range map[string]string{
		valid + service:                   "",
		valid:                             "services",
		valid + "services: [{name: s}]\n": "services[0].weightGiB",
		"nam: x\n":                        "scenario",
		"name: x\ndays: 0\n":              "days",
		valid + service + "faults: {dieWhileLoading: 2}\n": "faults.dieWhileLoading",
	} {
		_, err := Parse([]byte(content))
		if fault.FieldOf(err) != field || (err != nil) != (field != "") {
			t.Errorf("%q: got error %v", content, err)
		}
	}
	if _, err := PolicyByName("lazy"); fault.FieldOf(err) != "policy" {
		t.Error(err)
	}
}

// TestStoreSharesBandwidth runs more loads than the store serves at full speed, and then slows the
// store down.
func TestStoreSharesBandwidth(t *testing.T) {
	var clock virtualtime.Scheduler
	store := newWeightStore(&clock, StoreScenario{LoadsPerSecond: 1000, ConcurrentLoads: 2, GBps: 1})
	var finished []time.Duration
	for range 4 {
		store.load(1e9, func() bool { return true }, func() { finished = append(finished, clock.Now().Round(10*time.Millisecond)) })
	}
	store.load(1e9, func() bool { return false }, func() { t.Error("an unwanted load completed") })
	clock.RunUntil(time.Minute)
	for _, at := range finished {
		if at != 2*time.Second {
			t.Errorf("four loads sharing the bandwidth of two finished at %v", finished)
		}
	}
	store.setSlowdown(4)
	started := clock.Now()
	store.load(1e9, func() bool { return true }, func() { finished = append(finished, clock.Now()-started) })
	clock.RunUntil(2 * time.Minute)
	if len(finished) != 5 || finished[4].Round(10*time.Millisecond) != 4*time.Second {
		t.Errorf("load at a quarter of the speed finished at %v", finished)
	}
}
