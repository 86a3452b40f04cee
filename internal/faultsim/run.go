package faultsim

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Schedule is everything that a simulation depends on.
type Schedule struct {
	Seed     uint64   `yaml:"seed" json:"seed"`
	Mutation Mutation `yaml:"mutation" json:"mutation,omitempty"`
	Faults   []Fault  `yaml:"faults" json:"faults"`
}

// Violation is a broken promise and how to see it again.
type Violation struct {
	Check    string   `json:"check"`
	Detail   string   `json:"detail"`
	Schedule Schedule `json:"schedule"`
}

// Outcome is what one simulation showed.
type Outcome struct {
	Events     int
	Faults     map[string]int
	Violations []Violation
	// Answered, NotRun and Unknown count what callers were told.
	Answered, NotRun, Unknown int
	// Committed counts the entries of the log; Undecided is 1 if the check
	// for linearizability ran out of time.
	Committed, Undecided int
	// CrashCounts are how many engines ended under each request that ends them.
	CrashCounts []int
	// HealthyRefused counts the sends of other requests that were refused like those.
	HealthyRefused int
}

const (
	maxFaults = 6
	// settleSteps bounds the wait for a moment with nothing on its way: the
	// leader sweeps claims for as long as any are held.
	settleSteps = 100
)

// provokes lists the faults under which a broken rule shows. Other faults
// would only make it rarer.
var provokes = map[Mutation][]Kind{
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

	MutationLateDrains: {FaultDrainZone, FaultSuspend},

	MutationIgnoreBackoff: {FaultOverloadEngine},
	MutationIgnoreLimits:  {FaultLimitEngine},
}

// RandomSchedule draws a schedule: one to six faults, alone, together or one
// after the other, some of them twice.
func RandomSchedule(seed uint64, mutation Mutation) Schedule {
	random := rand.New(rand.NewPCG(seed, 2))
	schedule := Schedule{Seed: seed, Mutation: mutation}
	count := 1 + random.IntN(maxFaults)
	kinds := Kinds
	if provoking := provokes[mutation]; provoking != nil {
		kinds, count = provoking, maxFaults
	}
	for range count {
		schedule.Faults = append(schedule.Faults, randomFault(random, kinds))
	}
	if provokes[mutation] == nil {
		schedule.Faults = append(schedule.Faults, faultsDrawnApart(seed)...)
	}
	if random.IntN(3) == 0 {
		again := schedule.Faults[0]
		again.At = min(again.At+time.Duration(random.Int64N(int64(4*time.Second))), faultsEnd-time.Second)
		again.For = min(again.For, faultsEnd-again.At)
		schedule.Faults = append(schedule.Faults, again)
	}
	return schedule
}

// firstDrawnApart is the stream of random numbers of the first of AdditionalKinds.
const firstDrawnApart = 3

// faultsDrawnApart returns what every fourth schedule has besides of each kind, drawn from
// numbers of its own.
func faultsDrawnApart(seed uint64) []Fault {
	var drawn []Fault
	for position, kind := range AdditionalKinds {
		random := rand.New(rand.NewPCG(seed, uint64(firstDrawnApart+position)))
		if random.IntN(4) == 0 {
			drawn = append(drawn, randomFault(random, []Kind{kind}))
		}
	}
	return drawn
}

// has reports whether a schedule has a fault of a kind.
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

// Run simulates a schedule. The same schedule always has the same outcome.
func Run(schedule Schedule) Outcome {
	w := newWorld(schedule)
	for _, fault := range schedule.Faults {
		w.inject(fault)
	}
	w.RunUntil(simulationEnd)
	for range settleSteps {
		if w.checks.agreed() {
			break
		}
		w.RunUntil(w.Now() + controlTick)
	}
	w.checks.finish()
	return w.outcome(schedule)
}

func (w *world) outcome(schedule Schedule) Outcome {
	outcome := Outcome{Events: w.EventsRun(), Faults: w.faults, Committed: len(w.checks.entries), Undecided: w.checks.undecided}
	outcome.HealthyRefused = w.checks.innocentsRefused
	for _, culprit := range w.checks.culprits {
		outcome.CrashCounts = append(outcome.CrashCounts, len(w.checks.truthOf(culprit.identity).lives))
	}
	for _, told := range w.checks.verdicts {
		switch told {
		case verdictAnswered:
			outcome.Answered++
		case verdictNotRun:
			outcome.NotRun++
		default:
			outcome.Unknown++
		}
	}
	for _, check := range Checks {
		if details := w.checks.violations[check]; len(details) > 0 {
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

// Minimize returns the shortest schedule found that still breaks the check:
// it leaves out one fault after the other.
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
