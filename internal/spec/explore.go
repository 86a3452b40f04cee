package spec

// Model is a specification: states, the steps between them, and what must
// hold in every state.
type Model[S comparable] struct {
	Initial S
	// Next calls visit with every step that may follow a state.
	Next func(state S, visit func(action string, next S))
	// Broken returns what does not hold in a state, or "".
	Broken func(state S) string
}

// Exploration is the outcome of Explore.
type Exploration struct {
	// States is how many were reached.
	States int
	// Complete is false where the limit ended the exploration.
	Complete bool
	// Broken is the invariant that does not hold, and Trace the shortest way
	// to it.
	Broken string
	Trace  []string
}

type arrival[S comparable] struct {
	from   S
	action string
}

// Explore visits the states in breadth, at most limit of them, until an
// invariant is broken.
func Explore[S comparable](model Model[S], limit int) Exploration {
	reached := map[S]arrival[S]{model.Initial: {}}
	queue := []S{model.Initial}
	for position := 0; position < len(queue); position++ {
		state := queue[position]
		if broken := model.Broken(state); broken != "" {
			return Exploration{States: len(reached), Broken: broken, Trace: traceTo(reached, model.Initial, state)}
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
