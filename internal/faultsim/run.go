package faultsim

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Schedule is the complete input of a simulation.
type Schedule struct {
	Seed     uint64   `yaml:"seed" json:"seed"`
	Mutation Mutation `yaml:"mutation" json:"mutation,omitempty"`
	Shape    Shape    `yaml:"shape" json:"shape,omitzero"`
	Faults   []Fault  `yaml:"faults" json:"faults"`
}

// Violation is a failed check with the schedule that reproduces it.
type Violation struct {
	Check    string   `json:"check"`
	Detail   string   `json:"detail"`
	Schedule Schedule `json:"schedule"`
}

// Outcome is the result of one simulated schedule.
type Outcome struct {
	Events     int
	Faults     map[string]int
	Violations []Violation
	// Answered, NotRun and Unknown count requests by the outcome reported to the client.
	Answered, NotRun, Unknown int
	// Committed counts log entries. Undecided is 1 if the linearizability check timed out.
	Committed, Undecided int
	// CrashCounts holds the number of engines that each poison request or prompt part crashed.
	CrashCounts []int
	// HealthyRefused counts ordinary requests that were refused as quarantined.
	HealthyRefused int
}

const (
	maxFaults = 6
	// maxSettleSteps bounds the wait until all control nodes have applied the same entries; the leader
	// keeps sweeping claims while any are open.
	maxSettleSteps = 100
)

// provokingKinds lists the faults that can make a mutation cause a violation. The schedules of such a
// mutation contain no other faults.
var provokingKinds = map[Mutation][]Kind{
	MutationNoSync:    {FaultCrashLeader, FaultCrashControl, FaultStopLeader},
	MutationNoFence:   {FaultDuplicate, FaultSlowOrders, FaultFreezeRouter},
	MutationStaleRead: {FaultCutLeader, FaultFreezeLeader, FaultCutZone},
	MutationLongLease: {FaultCutLeader, FaultFreezeLeader, FaultCutZone},
	MutationRevert:    {FaultCutZone, FaultCrashControl, FaultCutOneWay},

	MutationTrustDigest: {FaultMuteControl},

	MutationUnsharedCrashes:    {FaultCrashingRequest, FaultCrashRouter},
	MutationForgetQuarantine:   {FaultCrashingRequest, FaultCrashLeader},
	MutationResetCountsAsCrash: {FaultCrashingRequest},
	MutationMonotonicLease:     {FaultSuspend},

	MutationIgnorePromptParts: {FaultCrashingPart},
	MutationKeepPartSuspicion: {FaultCrashingPart, FaultCrashEngine},

	MutationLateDrains: {FaultDrainZone, FaultSuspend},

	MutationIgnoreBackoff: {FaultOverloadEngine},
	MutationIgnoreLimits:  {FaultLimitEngine},
	MutationKeepRequests:  {FaultCutPaths},
	MutationOwnZoneOnly:   {FaultCutZonePaths},
	MutationLiveRouters:   {FaultCrashLeader, FaultStopLeader, FaultCrashControl},
}

// RandomSchedule draws one to maxFaults faults, which may overlap or repeat. A mutation with
// provokingKinds gets maxFaults faults of those kinds; other schedules also get additionalFaults.
func RandomSchedule(seed uint64, mutation Mutation) Schedule {
	random := rand.New(rand.NewPCG(seed, 2))
	schedule := Schedule{Seed: seed, Mutation: mutation}
	count := 1 + random.IntN(maxFaults)
	kinds := Kinds
	if provoking := provokingKinds[mutation]; provoking != nil {
		kinds, count = provoking, maxFaults
	}
	for range count {
		schedule.Faults = append(schedule.Faults, randomFault(random, kinds))
	}
	if provokingKinds[mutation] == nil {
		schedule.Faults = append(schedule.Faults, additionalFaults(seed)...)
	}
	if random.IntN(3) == 0 {
		again := schedule.Faults[0]
		again.At = min(again.At+time.Duration(random.Int64N(int64(4*time.Second))), faultsEnd-time.Second)
		again.For = min(again.For, faultsEnd-again.At)
		schedule.Faults = append(schedule.Faults, again)
	}
	return schedule
}

// firstAdditionalStream is the random stream of the first of AdditionalKinds.
const firstAdditionalStream = 3

// additionalFaults adds each of AdditionalKinds to a quarter of the schedules, from an independent
// random stream.
func additionalFaults(seed uint64) []Fault {
	var drawn []Fault
	for position, kind := range AdditionalKinds {
		random := rand.New(rand.NewPCG(seed, uint64(firstAdditionalStream+position)))
		if random.IntN(4) == 0 {
			drawn = append(drawn, randomFault(random, []Kind{kind}))
		}
	}
	return drawn
}

func (s Schedule) has(kind Kind) bool {
	return slices.ContainsFunc(s.Faults, func(fault Fault) bool { return fault.Kind == kind })
}

func randomFault(random *rand.Rand, kinds []Kind) Fault {
	begin := faultsBegin + time.Duration(random.Int64N(int64(faultsEnd-faultsBegin-time.Second)))
	longest := min(6*time.Second, faultsEnd-begin)
	span := 10*time.Millisecond + time.Duration(random.Int64N(int64(longest)))
	return Fault{
		At: begin.Round(time.Millisecond), For: span.Round(time.Millisecond),
		Kind: kinds[random.IntN(len(kinds))], Target: random.IntN(100),
	}
}

// Run simulates a schedule. The outcome depends on the schedule alone.
func Run(schedule Schedule) Outcome {
	s := newSimulation(schedule)
	for _, fault := range schedule.Faults {
		s.inject(fault)
	}
	s.RunUntil(simulationEnd)
	for range maxSettleSteps {
		if s.checks.allApplied() {
			break
		}
		s.RunUntil(s.Now() + controlTick)
	}
	s.checks.checkFinalState()
	return s.outcome(schedule)
}

func (s *simulation) outcome(schedule Schedule) Outcome {
	outcome := Outcome{Events: s.EventsRun(), Faults: s.faults, Committed: len(s.checks.entryHashes), Undecided: s.checks.undecided}
	outcome.HealthyRefused = s.checks.healthyRefused
	for _, poison := range s.checks.poisons {
		outcome.CrashCounts = append(outcome.CrashCounts, len(s.checks.crashRecordOf(poison.Identity).instances))
	}
	for _, ended := range s.checks.outcomes {
		switch ended {
		case outcomeAnswered:
			outcome.Answered++
		case outcomeNotRun:
			outcome.NotRun++
		default:
			outcome.Unknown++
		}
	}
	for _, check := range Checks {
		if details := s.checks.violations[check]; len(details) > 0 {
			outcome.Violations = append(outcome.Violations, Violation{Check: check, Detail: details[0], Schedule: schedule})
		}
	}
	return outcome
}

func violates(outcome Outcome, check string) bool {
	for _, violation := range outcome.Violations {
		if violation.Check == check {
			return true
		}
	}
	return false
}

// Minimize removes faults one at a time as long as the schedule still violates the check.
func Minimize(schedule Schedule, check string) Schedule {
	for position := 0; position < len(schedule.Faults); {
		shorter := schedule
		shorter.Faults = append(append([]Fault{}, schedule.Faults[:position]...), schedule.Faults[position+1:]...)
		if violates(Run(shorter), check) {
			schedule = shorter
			continue
		}
		position++
	}
	return schedule
}
