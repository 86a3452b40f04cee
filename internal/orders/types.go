package orders

// Operation is what an order makes an engine do with a model or an adapter.
type Operation string

// Load and Unload apply to the order's adapter if it names one, and to its model otherwise.
const (
	Load   Operation = "load"
	Unload Operation = "unload"
)

// Order makes an engine load or unload a model or one of its adapters.
type Order struct {
	Machine   string
	Endpoint  string
	Operation Operation
	// Model is the engine's name of the model; Adapter is the name of one of its adapters, or empty.
	Model   string
	Adapter string
	// Expected is the number of orders that the engine must have accepted before.
	Expected uint64
	// FromStore is set if the weights are loaded from the weight store.
	FromStore bool
}

func (o Order) adapterTask() AdapterTask {
	return AdapterTask{Model: o.Model, Adapter: o.Adapter}
}

// Outcome is the outcome of sending an order.
type Outcome int

const (
	// Accepted: the engine executes the order.
	Accepted Outcome = iota
	// AlreadyDone: the engine already had the desired state.
	AlreadyDone
	// Conflict: another order is in progress, or the sequence numbers differ.
	Conflict
	// WrongMachine: a different machine responded at the endpoint.
	WrongMachine
	// Refused: the engine rejects the order itself.
	Refused
	// NotSent: nothing was sent to the engine.
	NotSent
	// Unknown: the order may be executed now, later or never.
	Unknown
)

// String returns the outcome's name in logs. It panics for undefined outcomes.
func (o Outcome) String() string {
	return [...]string{"accepted", "holds", "conflict", "elsewhere", "refused", "not_sent", "unknown"}[o]
}

// Report is the state of an engine from a heartbeat, which may be old, or from a poll.
type Report struct {
	Models map[string][]string
	// Sequence is the number of orders that the engine had accepted; only set by polls.
	Sequence uint64
	Polled   bool
	Busy     bool
	// StartedMs is the engine's start time in Unix milliseconds, or 0 if unknown.
	StartedMs int64
	// Memory and Disk have the models whose weights are cached in the machine's memory or on its disk.
	Memory, Disk []string
}

// DesiredState is the state of an engine that the replica records call for.
type DesiredState struct {
	Machine  string
	Endpoint string
	// Load and Unload have the models with a record in that phase, oldest first. Loads are executed by
	// decreasing work.
	Load, Unload []Task
	Adapters     []AdapterTask
	// Blocked is set while another node may still be sending orders to the engine.
	Blocked bool
}

// Task is a load or unload of a model.
type Task struct {
	Model     string
	FromStore bool
	// Work is the demand for the model, in tokens per second.
	Work float64
}

// AdapterTask is a load of an adapter, or an unload if Drop is set.
type AdapterTask struct {
	Model, Adapter string
	Drop           bool
}
