package orders

import (
	"slices"
	"time"
)

type engine struct {
	reported bool
	// firstReport is the time of the first report in this term; reports counts all of them.
	firstReport time.Duration
	reports     int
	// models has the adapters of each loaded model.
	models  map[string]map[string]bool
	missing map[string]absence
	memory  []string
	disk    []string

	sequence      uint64
	sequenceKnown bool
	// sending is set while an order awaits its response.
	sending bool
	// inProgress is the accepted order that is being executed, if any.
	inProgress *orderInProgress
	// adapters has the adapters being loaded, with the time of their completion.
	adapters         map[AdapterTask]time.Duration
	lastAdapterOrder time.Duration
	polling          bool
	pollDue          time.Duration
	pauseUntil       time.Duration
	// state caches the result of State; nil after a change.
	state *State
}

// absence counts the consecutive reports that lack a model.
type absence struct {
	reports int
	since   time.Duration
}

type orderInProgress struct {
	order Order
	since time.Duration
	// sequence is the engine's sequence number after it accepted the order.
	sequence uint64
}

func (e *engine) updateModels(now time.Duration, report Report) {
	for model, adapters := range report.Models {
		delete(e.missing, model)
		if e.isUnloading(model) {
			continue // The report predates the order, or the unload is in progress.
		}
		loaded := e.models[model]
		// A polled report covers all orders accepted so far.
		if loaded == nil || report.Polled || now-e.lastAdapterOrder > adapterReportLag {
			loaded = map[string]bool{}
			for _, adapter := range adapters {
				if !e.isUnloadingAdapter(model, adapter) {
					loaded[adapter] = true
				}
			}
			e.models[model] = loaded
		}
	}
	for model := range e.models {
		if _, listed := report.Models[model]; listed {
			continue
		}
		absence, found := e.missing[model]
		if !found {
			absence.since = now
		}
		absence.reports++
		e.missing[model] = absence
		if absence.reports >= minMissingReports && now-absence.since >= minMissingTime {
			delete(e.models, model)
			delete(e.missing, model)
		}
	}
}

// isUnloadingAdapter reports whether an adapter is being unloaded, which may take until its runs have
// ended.
func (e *engine) isUnloadingAdapter(model, adapter string) bool {
	if e.inProgress == nil || adapter == "" || e.inProgress.order.Operation != Unload {
		return false
	}
	return e.inProgress.order.Model == model && e.inProgress.order.Adapter == adapter
}

func (e *engine) isUnloading(model string) bool {
	return e.inProgress != nil && e.inProgress.order.Operation == Unload && e.inProgress.order.Adapter == "" && e.inProgress.order.Model == model
}

// completeOrder ends the order in progress if the report shows its outcome.
func (e *engine) completeOrder(now time.Duration, report Report) {
	if e.inProgress == nil {
		return
	}
	order := e.inProgress.order
	_, listed := report.Models[order.Model]
	if order.Adapter != "" {
		if !slices.Contains(report.Models[order.Model], order.Adapter) {
			e.inProgress = nil
		}
		return
	}
	idle := report.Polled && !report.Busy && report.Sequence >= e.inProgress.sequence
	switch {
	case order.Operation == Load && listed:
		e.inProgress = nil
	case order.Operation == Unload && !listed:
		delete(e.models, order.Model)
		delete(e.missing, order.Model)
		e.inProgress = nil
	case idle || now-e.inProgress.since > orderTimeout:
		e.inProgress = nil
	}
}

// needsPoll reports whether a poll is due: to learn the sequence number for an order, or to check the
// progress of one.
func (e *engine) needsPoll(now time.Duration, hasOrder bool) bool {
	if e.polling || now < e.pollDue {
		return false
	}
	return hasOrder && !e.sequenceKnown || e.inProgress != nil
}

// nextModelOrder returns the next model order. Unloads precede loads, which may need their memory.
func (e *engine) nextModelOrder(desired DesiredState) (Order, bool) {
	if e.sending || e.inProgress != nil {
		return Order{}, false
	}
	for _, task := range desired.Unload {
		if _, loaded := e.models[task.Model]; loaded {
			return Order{Machine: desired.Machine, Endpoint: desired.Endpoint, Operation: Unload, Model: task.Model}, true
		}
	}
	for _, task := range desired.Load {
		if _, loaded := e.models[task.Model]; !loaded {
			return Order{
				Machine: desired.Machine, Endpoint: desired.Endpoint, Operation: Load, Model: task.Model, FromStore: task.FromStore,
			}, true
		}
	}
	return Order{}, false
}

func (e *engine) nextAdapterOrders(desired DesiredState) []Order {
	// Engines accept no adapter orders during a model order or an adapter unload.
	if e.inProgress != nil || len(e.adapters) >= maxAdapterOrders {
		return nil
	}
	var orders []Order
	for _, task := range desired.Adapters {
		if _, isLoading := e.adapters[task]; isLoading {
			continue
		}
		adapters, loaded := e.models[task.Model]
		if !loaded || e.isUnloading(task.Model) || adapters[task.Adapter] != task.Drop {
			continue
		}
		operation := Load
		if task.Drop {
			operation = Unload
		}
		orders = append(orders, Order{
			Machine: desired.Machine, Endpoint: desired.Endpoint, Operation: operation, Model: task.Model, Adapter: task.Adapter,
		})
	}
	return orders
}

// completeAdapters marks adapters as loaded after AdapterLoadTime.
func (e *engine) completeAdapters(now time.Duration) {
	for task, readyAt := range e.adapters {
		if now < readyAt {
			continue
		}
		delete(e.adapters, task)
		e.state = nil
		if adapters := e.models[task.Model]; adapters != nil {
			adapters[task.Adapter] = true
		}
	}
}

func (e *engine) accept(now time.Duration, order Order) {
	if order.Adapter == "" {
		e.inProgress = &orderInProgress{order: order, since: now, sequence: e.sequence}
		e.pollDue = now + pollInterval
		return
	}
	e.lastAdapterOrder = now
	if order.Operation == Unload {
		// An adapter in use is unloaded after its runs have ended; until then, the engine accepts no
		// other order.
		delete(e.models[order.Model], order.Adapter)
		e.inProgress = &orderInProgress{order: order, since: now, sequence: e.sequence}
		e.pollDue = now + pollRetry
		return
	}
	e.adapters[order.adapterTask()] = now + AdapterLoadTime
}

// recordExisting updates the state after an order that had nothing to do.
func (e *engine) recordExisting(now time.Duration, order Order) {
	switch {
	case order.Adapter != "" && order.Operation == Load:
		e.lastAdapterOrder = now
		if adapters := e.models[order.Model]; adapters != nil {
			adapters[order.Adapter] = true
		}
	case order.Adapter != "":
		e.lastAdapterOrder = now
		e.sequence++
		delete(e.models[order.Model], order.Adapter)
	case order.Operation == Load:
		if e.models[order.Model] == nil {
			e.models[order.Model] = map[string]bool{}
		}
	default:
		delete(e.models, order.Model)
	}
}
