package orders

import (
	"slices"
	"time"
)

// engine is what the core knows of one engine.
type engine struct {
	heard bool
	// heardFirst is when the engine was first heard of in this term, reports
	// how often it was since.
	heardFirst time.Duration
	reports    int
	// models maps each model held to its adapters.
	models  map[string]map[string]bool
	missing map[string]absence
	memory  []string
	disk    []string

	sequence      uint64
	sequenceKnown bool
	// sending is set while a model order has not been answered.
	sending bool
	// underWay is the accepted model order, if any.
	underWay *underWay
	// adapters on their way, and when they will be there.
	adapters     map[AdapterTask]time.Duration
	adapterTouch time.Duration
	polling      bool
	pollDue      time.Duration
	pauseUntil   time.Duration
	// state is what State returned last; nil where something has changed since.
	state *State
}

// absence is how often and since when reports lack a model.
type absence struct {
	reports int
	since   time.Duration
}

type underWay struct {
	order Order
	since time.Duration
	// sequence is what the engine counts once it has taken the order.
	sequence uint64
}

func (e *engine) takeModels(now time.Duration, report Report) {
	for model, adapters := range report.Models {
		delete(e.missing, model)
		if e.isUnloading(model) {
			continue // Sent before the engine took the order, or still at it.
		}
		known := e.models[model]
		// An answer to a poll that got here counts every order taken so far.
		if known == nil || report.Polled || now-e.adapterTouch > trustAfter {
			known = map[string]bool{}
			for _, adapter := range adapters {
				if !e.isDropping(model, adapter) {
					known[adapter] = true
				}
			}
			e.models[model] = known
		}
	}
	for model := range e.models {
		if _, listed := report.Models[model]; listed {
			continue
		}
		absent, noted := e.missing[model]
		if !noted {
			absent.since = now
		}
		absent.reports++
		e.missing[model] = absent
		if absent.reports >= missingReports && now-absent.since >= missingFor {
			delete(e.models, model)
			delete(e.missing, model)
		}
	}
}

// isDropping reports whether an accepted order drops an adapter, which is there
// until its runs have ended.
func (e *engine) isDropping(model, adapter string) bool {
	if e.underWay == nil || adapter == "" || e.underWay.order.Operation != Unload {
		return false
	}
	return e.underWay.order.Model == model && e.underWay.order.Adapter == adapter
}

func (e *engine) isUnloading(model string) bool {
	return e.underWay != nil && e.underWay.order.Operation == Unload && e.underWay.order.Adapter == "" && e.underWay.order.Model == model
}

// finish ends the order under way where the report shows its outcome.
func (e *engine) finish(now time.Duration, report Report) {
	if e.underWay == nil {
		return
	}
	order := e.underWay.order
	_, listed := report.Models[order.Model]
	if order.Adapter != "" {
		if !slices.Contains(report.Models[order.Model], order.Adapter) {
			e.underWay = nil
		}
		return
	}
	idle := report.Polled && !report.Busy && report.Sequence >= e.underWay.sequence
	switch {
	case order.Operation == Load && listed:
		e.underWay = nil
	case order.Operation == Unload && !listed:
		delete(e.models, order.Model)
		delete(e.missing, order.Model)
		e.underWay = nil
	case idle || now-e.underWay.since > orderPatience:
		e.underWay = nil
	}
}

// needsPoll reports whether the engine is to be asked: before an order where
// its number is not known, and now and then while one is under way.
func (e *engine) needsPoll(now time.Duration, hasOrder bool) bool {
	if e.polling || now < e.pollDue {
		return false
	}
	return hasOrder && !e.sequenceKnown || e.underWay != nil
}

// nextModelOrder returns the next model order: what makes room comes first.
func (e *engine) nextModelOrder(wanted DesiredState) (Order, bool) {
	if e.sending || e.underWay != nil {
		return Order{}, false
	}
	for _, task := range wanted.Unload {
		if _, held := e.models[task.Model]; held {
			return Order{Machine: wanted.Machine, Endpoint: wanted.Endpoint, Operation: Unload, Model: task.Model}, true
		}
	}
	for _, task := range wanted.Load {
		if _, held := e.models[task.Model]; !held {
			return Order{
				Machine: wanted.Machine, Endpoint: wanted.Endpoint, Operation: Load, Model: task.Model, FromStore: task.FromStore,
			}, true
		}
	}
	return Order{}, false
}

func (e *engine) nextAdapterOrders(wanted DesiredState) []Order {
	// An engine that is at an order for a model takes none for an adapter.
	if e.underWay != nil || len(e.adapters) >= maxAdapterOrders {
		return nil
	}
	var orders []Order
	for _, task := range wanted.Adapters {
		if _, onItsWay := e.adapters[task]; onItsWay {
			continue
		}
		adapters, held := e.models[task.Model]
		if !held || e.isUnloading(task.Model) || adapters[task.Adapter] != task.Drop {
			continue
		}
		operation := Load
		if task.Drop {
			operation = Unload
		}
		orders = append(orders, Order{
			Machine: wanted.Machine, Endpoint: wanted.Endpoint, Operation: operation, Model: task.Model, Adapter: task.Adapter,
		})
	}
	return orders
}

// settleAdapters takes adapters to be there once their time has passed.
func (e *engine) settleAdapters(now time.Duration) {
	for task, ready := range e.adapters {
		if now < ready {
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
		e.underWay = &underWay{order: order, since: now, sequence: e.sequence}
		e.pollDue = now + pollInterval
		return
	}
	e.adapterTouch = now
	if order.Operation == Unload {
		// It is in use: the engine waits for its runs, and takes nothing else.
		delete(e.models[order.Model], order.Adapter)
		e.underWay = &underWay{order: order, since: now, sequence: e.sequence}
		e.pollDue = now + pollRetry
		return
	}
	e.adapters[order.adapterTask()] = now + AdapterLoadTime
}

// hold notes that what an order asks for was so already.
func (e *engine) hold(now time.Duration, order Order) {
	switch {
	case order.Adapter != "" && order.Operation == Load:
		e.adapterTouch = now
		if adapters := e.models[order.Model]; adapters != nil {
			adapters[order.Adapter] = true
		}
	case order.Adapter != "":
		e.adapterTouch = now
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
