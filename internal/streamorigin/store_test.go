package streamorigin

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

var start = time.Unix(1_700_000_000, 0)

func record(attempt, software string, sends uint32, lifetime time.Duration) Record {
	return Record{Key: KeyOf("t", attempt), Origin: Origin{Pool: "p", Software: software}, Sends: sends, Expires: start.Add(lifetime)}
}

func TestLookup(t *testing.T) {
	tests := []struct {
		name    string
		records []Record
		at      time.Duration
		want    string
	}{
		{"nothing", nil, 0, ""},
		{"another stream", []Record{record("b", "v1", 0, time.Minute)}, 0, ""},
		{"recorded", []Record{record("a", "v1", 0, time.Minute)}, time.Second, "v1"},
		{"expired", []Record{record("a", "v1", 0, time.Minute)}, time.Minute, ""},
		{"the last worker", []Record{record("a", "v1", 0, time.Minute), record("a", "v2", 1, time.Minute)}, 0, "v2"},
		{"the last worker, whose record came first", []Record{record("a", "v2", 1, time.Minute), record("a", "v1", 0, time.Minute)}, 0, "v2"},
		{"a repeated record", []Record{record("a", "v1", 0, time.Minute), record("a", "v1", 0, time.Minute)}, 0, "v1"},
		{"extended", []Record{record("a", "v1", 0, time.Minute), record("a", "v1", 0, time.Hour)}, 30 * time.Minute, "v1"},
		{"not shortened", []Record{record("a", "v1", 0, time.Hour), record("a", "v1", 0, time.Minute)}, 30 * time.Minute, "v1"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			store := NewStore()
			for _, each := range test.records {
				store.Add(start, each)
			}
			found, known := store.Lookup(start.Add(test.at), KeyOf("t", "a"))
			if found.Origin.Software != test.want || known != (test.want != "") {
				t.Errorf("found %+v, %v", found, known)
			}
		})
	}
}

// TestStoreIsBounded checks that a full store drops what expires first, and counts it.
func TestStoreIsBounded(t *testing.T) {
	store, evicted := NewStore(), 0
	const extra = 100
	for number := range MaxRecords + extra {
		evicted += store.Add(start, record(fmt.Sprint(number), "v1", 0, time.Duration(number+1)*time.Second))
	}
	if store.Len() != MaxRecords || evicted != extra {
		t.Errorf("%d records, %d evicted", store.Len(), evicted)
	}
	if _, known := store.Lookup(start, KeyOf("t", "0")); known {
		t.Error("the record that expires first is kept")
	}
	if _, known := store.Lookup(start, KeyOf("t", fmt.Sprint(MaxRecords+extra-1))); !known {
		t.Error("the record that expires last is dropped")
	}
	later := start.Add(time.Duration(MaxRecords+extra) * time.Second)
	if left := store.Records(later); len(left) != 0 || store.Len() != 0 {
		t.Errorf("%d expired records are left", store.Len())
	}
}

func TestKeySeparatesTenants(t *testing.T) {
	keys := map[Key]bool{KeyOf("t", "a"): true, KeyOf("", "ta"): true, KeyOf("ta", ""): true, KeyOf("u", "a"): true}
	if len(keys) != 4 {
		t.Errorf("%d keys of 4 streams", len(keys))
	}
}

// TestAskedRoutersHaveRecord checks that any router that is asked for a stream finds its record, although each
// leaves itself out, and also after any one router has ended.
func TestAskedRoutersHaveRecord(t *testing.T) {
	var routers []string
	for number := range 7 {
		routers = append(routers, fmt.Sprint("r", number))
	}
	without := func(left ...string) []string {
		return slices.DeleteFunc(slices.Clone(routers), func(node string) bool { return slices.Contains(left, node) })
	}
	for number := range 200 {
		key := KeyOf("t", fmt.Sprint(number))
		for _, writer := range routers {
			holders := append(Keepers(key, without(writer), Copies), writer)
			for _, ended := range routers {
				for _, asker := range without(ended) {
					asked := append(Keepers(key, without(asker, ended), Asked), asker)
					found := slices.ContainsFunc(asked, func(node string) bool { return slices.Contains(holders, node) })
					if !found {
						t.Fatalf("%s recorded at %v, %s asks %v after the end of %s", writer, holders, asker, asked, ended)
					}
				}
			}
		}
	}
}

// TestKeepersShareRecords checks that no router keeps much more than its share.
func TestKeepersShareRecords(t *testing.T) {
	routers, kept := []string{"a", "b", "c", "d", "e"}, map[string]int{}
	const streams = 2000
	for number := range streams {
		for _, keeper := range Keepers(KeyOf("t", fmt.Sprint(number)), routers, Copies) {
			kept[keeper]++
		}
	}
	share := streams * Copies / len(routers)
	for _, router := range routers {
		if kept[router] < share*8/10 || kept[router] > share*12/10 {
			t.Errorf("%s keeps %d records, its share is %d", router, kept[router], share)
		}
	}
}
