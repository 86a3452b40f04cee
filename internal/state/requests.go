package state

import (
	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/weldline/weldline/internal/wire/wirepb"
)

// requestTable holds the results of requests that carry a request id, oldest first. A retry
// gets the first result from any node, also after a change of leader.
type requestTable struct {
	order   []string
	records map[string]*wirepb.RequestRecord
}

func newRequestTable() requestTable {
	return requestTable{records: map[string]*wirepb.RequestRecord{}}
}

func fingerprintOf(command *wirepb.Command) uint64 {
	if command.GetRequestId() == "" {
		return 0
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(&wirepb.Command{Body: command.GetBody()})
	if err != nil {
		return 0 // Unreachable: a decoded message always encodes.
	}
	return xxhash.Sum64(data)
}

func (t *requestTable) lookup(requestID string, fingerprint uint64) (*wirepb.CommandResult, bool) {
	record := t.records[requestID]
	if requestID == "" || record == nil {
		return nil, false
	}
	if record.GetFingerprint() != fingerprint {
		return &wirepb.CommandResult{
			Code:    wirepb.ResultCode_RESULT_CODE_INVALID,
			Message: "request id " + requestID + " was used for a different request",
		}, true
	}
	return record.GetResult(), true
}

func (t *requestTable) record(requestID string, fingerprint uint64, result *wirepb.CommandResult) {
	if requestID == "" {
		return
	}
	t.add(&wirepb.RequestRecord{RequestId: requestID, Fingerprint: fingerprint, Result: result})
}

func (t *requestTable) add(record *wirepb.RequestRecord) {
	t.order = append(t.order, record.GetRequestId())
	t.records[record.GetRequestId()] = record
	if len(t.order) > MaxRequestRecords {
		delete(t.records, t.order[0])
		t.order = t.order[1:]
	}
}

func (t *requestTable) list() []*wirepb.RequestRecord {
	listed := make([]*wirepb.RequestRecord, 0, len(t.order))
	for _, requestID := range t.order {
		listed = append(listed, t.records[requestID])
	}
	return listed
}
