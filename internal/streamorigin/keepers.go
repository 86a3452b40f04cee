package streamorigin

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// Copies is the number of other routers that a record is copied to.
	Copies = 2
	// Asked is the number of other routers that are asked for a record. It is one more than the copies, as
	// the router that asks may rank the keepers without the one that recorded.
	Asked = Copies + 1
)

// Keepers returns the routers that keep the record of a stream, of all but the calling one, the first choice
// first. Rendezvous hashing moves few records when a router joins or leaves.
func Keepers(key Key, routers []string, count int) []string {
	type ranked struct {
		node string
		rank uint64
	}
	ranking := make([]ranked, 0, len(routers))
	for _, node := range routers {
		ranking = append(ranking, ranked{node: node, rank: xxhash.Sum64(append([]byte(node), key[:]...))})
	}
	slices.SortFunc(ranking, func(left, right ranked) int {
		return cmp.Or(cmp.Compare(right.rank, left.rank), cmp.Compare(left.node, right.node))
	})
	chosen := make([]string, 0, count)
	for _, each := range ranking[:min(count, len(ranking))] {
		chosen = append(chosen, each.node)
	}
	return chosen
}
