package spec

// Model is a specification: an initial state, the transitions between states, and an invariant.
type Model[S comparable] struct {
	Initial S
	// Next calls visit for every transition from a state.
	Next func(state S, visit func(action string, next S))
	// Violation returns the invariant that a state violates, or "".
	Violation func(state S) string
}

// Exploration is the result of Explore. States is the number of distinct states that were reached,
// including the initial one.
type Exploration struct {
	States int
	// Complete is false if the limit or a violation ended the exploration.
	Complete bool
	// Violation is the violated invariant, and Trace a shortest sequence of actions that leads
	// to it.
	Violation string
	Trace     []string
}

type arrival[S comparable] struct {
	from   S
	action string
}

// Explore visits at most limit states in breadth-first order, until one violates an invariant.
func Explore[S comparable](model Model[S], limit int) Exploration {
	reached := map[S]arrival[S]{model.Initial: {}}
	queue := []S{model.Initial}
	for position := 0; position < len(queue); position++ {
		state := queue[position]
		if violation := model.Violation(state); violation != "" {
			return Exploration{States: len(reached), Violation: violation, Trace: traceTo(reached, model.Initial, state)}
		}
		if len(reached) >= limit {
			return Exploration{States: len(reached)}
		}
		model.Next(state, func(action string, next S) {
			if _, known := reached[next]; !known {
				reached[next] = arrival[S]{from: state, action: action}
				queue = append(queue, next)
			}
		})
	}
	return Exploration{States: len(reached), Complete: true}
}

func traceTo[S comparable](reached map[S]arrival[S], initial, state S) []string {
	var backwards []string
	for state != initial {
		step := reached[state]
		backwards = append(backwards, step.action)
		state = step.from
	}
	trace := make([]string, 0, len(backwards))
	for position := len(backwards) - 1; position >= 0; position-- {
		trace = append(trace, backwards[position])
	}
	return trace
}
