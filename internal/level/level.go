// Package level gates what the members of a cluster write by what all of them understand.
//
// The problem: while machines are replaced one after the other, builds of two
// releases share one log. What the older one does not know it passes over, or
// refuses where the newer one accepts, and from then on the states of the two
// differ for good without a word.
//
// The mechanism is that of cluster versions: the log holds a level. Whatever a
// release adds to commands, snapshots or objects belongs to a level, and is
// written from the entry on that puts this level in force. The leader raises
// it once every member and every node in touch has told that it understands
// it. A process that does not understand the level in force is refused by
// those that do, and stops if it meets it in its own log. So a release can be
// taken back for as long as its level is not in force.
package level

// Level numbers what members may write. It only grows.
type Level uint32

const (
	// None is that of builds that know of no levels.
	None Level = 0
	// MachineStarts: the records of machines tell when the machine started, and one that starts
	// again under its id gets a record of its own.
	MachineStarts Level = 1
	// Supported is the highest that this build understands.
	Supported = MachineStarts
)

// Next returns the level that may be put in force, given what the members and the nodes in touch
// understand; raised is false where that is not above the one in force.
func Next(inForce Level, understood []Level) (next Level, raised bool) {
	next = Supported
	for _, other := range understood {
		next = min(next, other)
	}
	return next, next > inForce
}
