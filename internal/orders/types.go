package orders

// Operation is what an order asks for.
type Operation string

// The operations.
const (
	Load   Operation = "load"
	Unload Operation = "unload"
)

// Order is one order to an engine.
type Order struct {
	Machine   string
	Endpoint  string
	Operation Operation
	// Model is the name that the engine knows; Adapter one of its adapters.
	Model   string
	Adapter string
	// Expected is how many orders the engine should have taken before.
	Expected uint64
	// FromStore is set where the weights come from the weight store.
	FromStore bool
}

func (o Order) adapterTask() AdapterTask {
	return AdapterTask{Model: o.Model, Adapter: o.Adapter}
}

// Outcome is what became of an order, as far as the engine's answer tells.
type Outcome int

// The outcomes.
const (
	// Accepted: the engine is carrying it out.
	Accepted Outcome = iota
	// Holds: it held already.
	AlreadyDone
	// Conflict: another order is under way, or the number differs.
	Conflict
	// Elsewhere: the engine at the address is another one.
	WrongMachine
	// Refused: the order itself is at fault.
	Refused
	// NotSent: nothing was written to the engine.
	NotSent
	// Unknown: it may be carried out now, later, or never.
	Unknown
)

// String names the outcome in logs.
func (o Outcome) String() string {
	return [...]string{"accepted", "holds", "conflict", "elsewhere", "refused", "not_sent", "unknown"}[o]
}

// Report is what an engine said of itself, now or some hundred ms ago.
type Report struct {
	Models map[string][]string
	// Sequence is how many orders it had taken; only polls tell it.
	Sequence uint64
	Polled   bool
	Busy     bool
	// StartedMs is when the engine says that it started, in Unix milliseconds; 0 if it does not say.
	StartedMs int64
	// Memory and Disk are the models whose weights are at hand there.
	Memory, Disk []string
}

// DesiredState is what an engine should hold, by the records.
type DesiredState struct {
	Machine  string
	Endpoint string
	// Load and Unload are models with a record in that phase, oldest first; of
	// loads, those with the most work are given first.
	Load, Unload []Task
	// Adapters to load and to drop.
	Adapters []AdapterTask
	// Blocked is set while another node may still be giving orders.
	Blocked bool
}

// Task is a model to load or unload.
type Task struct {
	Model     string
	FromStore bool
	// Work is the rate of work that the model is asked for, in tokens per
	// second.
	Work float64
}

// AdapterTask is an adapter to load or to drop.
type AdapterTask struct {
	Model, Adapter string
	Drop           bool
}
