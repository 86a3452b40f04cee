// Package drains holds the rules by which orders to drain a zone, or to end that, are taken.
//
// The problem: an operator sends an order again to another node when there is no answer for about
// a second, and may order the opposite once one was acknowledged. No earlier order may take effect
// after a later one, however long a node, a link or the log held it.
//
// The mechanism:
//
//   - An order is written on condition of the revision that it read, and every acknowledged order,
//     also one that changes nothing, makes a new revision. What read before a later order was
//     acknowledged is refused.
//   - An order reads the state only within ReadWindow of its arrival at a process, and a process
//     that was stalled takes no orders. So it reads while its caller still waits, which is before
//     any later order of that caller.
//
// All here is pure: control nodes carry it out, and the fault simulator drives the same rules.
package drains
