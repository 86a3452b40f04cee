package state

import (
	"fmt"
	"runtime"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/weldline/weldline/internal/wire/wirepb"
)

// BenchmarkClaims opens and completes claims in batches of 128 and reports the
// time for each request and the memory that its record takes.
func BenchmarkClaims(b *testing.B) {
	const batch = 128
	machine := New()
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	number := 0
	for b.Loop() {
		opens, completes := &wirepb.ClaimBatch{}, &wirepb.ClaimBatch{}
		for range batch {
			number++
			key := fmt.Sprintf("seat-ledger|window-%d|key-%d", number%100, number)
			opens.Claims = append(opens.Claims, &wirepb.ClaimCommand{
				Operation: wirepb.ClaimCommand_OPERATION_OPEN, Key: key, Owner: "node-001/" + key, Fingerprint: 1,
			})
			completes.Claims = append(completes.Claims, &wirepb.ClaimCommand{
				Operation: wirepb.ClaimCommand_OPERATION_COMPLETE, Key: key, Owner: "node-001/" + key,
				Answer: &wirepb.RecordedAnswer{Status: 201, ContentType: "application/json", Body: make([]byte, 100)},
			})
		}
		for _, claims := range []*wirepb.ClaimBatch{opens, completes} {
			data, err := proto.Marshal(&wirepb.Command{Body: &wirepb.Command_Claims{Claims: claims}})
			if err != nil {
				b.Fatal(err)
			}
			machine.Apply(data)
		}
	}
	b.ReportMetric(b.Elapsed().Seconds()*1e6/float64(number), "µs/request")
	runtime.GC()
	runtime.ReadMemStats(&after)
	if held, _ := machine.ClaimCounts(); held != number {
		b.Fatalf("%d records of %d", held, number)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(number), "B/record")
}
