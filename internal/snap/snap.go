// Package snap stores the latest snapshot of the replicated state in a file that is replaced
// atomically and protected by a CRC-32C.
package snap

import (
	"encoding/binary"
	"hash/crc32"
	"os"

	"google.golang.org/protobuf/proto"

	"github.com/weldline/weldline/internal/datadir"
	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

const checksumBytes = 4

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Save replaces the stored snapshot. The new one is durable when Save returns.
func Save(path string, snapshot *wirepb.Snapshot) error {
	payload, err := proto.Marshal(snapshot)
	if err != nil {
		return fault.Internal.Wrap(err, "encoding a snapshot")
	}
	content := binary.LittleEndian.AppendUint32(nil, crc32.Checksum(payload, castagnoli))
	return datadir.WriteFileSynced(path, append(content, payload...))
}

// Load returns the stored snapshot, or nil if there is none.
func Load(path string) (*wirepb.Snapshot, error) {
	content, err := os.ReadFile(path)
	if os.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, fault.Storage.Wrap(err, "reading the snapshot")
	}
	if len(content) < checksumBytes {
		return nil, fault.Corrupt.New("snapshot is truncated")
	}
	payload := content[checksumBytes:]
	if crc32.Checksum(payload, castagnoli) != binary.LittleEndian.Uint32(content) {
		return nil, fault.Corrupt.New("snapshot has a checksum mismatch")
	}
	snapshot := &wirepb.Snapshot{}
	if err := proto.Unmarshal(payload, snapshot); err != nil {
		return nil, fault.Corrupt.Wrap(err, "decoding the snapshot")
	}
	return snapshot, nil
}
