// Package places tells where machines and nodes stand, how far apart two places are, and in
// which regions a request may be served.
//
// The problem: a request that crosses regions waits for the link twice and pays for each byte,
// and some callers' requests may not leave certain regions at all. Both questions come up
// wherever work is sent or placed, and must be answered alike everywhere.
//
// The mechanism: a zone lies in one region, by a table that the settings hold; everything else
// follows from the table. A zone that the table does not name is in no region that is known: it
// is far from every other zone, and no constraint on regions allows it.
package places
