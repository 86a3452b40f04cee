// Package wal is the segmented write-ahead log of a control node.
//
// A record is a 4-byte little-endian length, a 4-byte CRC-32C of the length
// and payload, and a WalRecord as payload. Append returns only after fsync:
// a message that promises a record must not be sent earlier.
//
// A crash can only tear the end of the newest segment. So a bad record there,
// with nothing valid after it, is cut off; a bad record anywhere else means
// that a promise was lost, and the log refuses to open.
package wal

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
	"sort"
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/weldline/weldline/internal/datadir"
	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

const (
	// SegmentBytes is the size at which a new segment is begun.
	SegmentBytes   = 8 << 20
	maxRecordBytes = 64 << 20
	headerBytes    = 8
	segmentSuffix  = ".wal"
	fileMode       = 0o640
	folderMode     = 0o750
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Log is an open write-ahead log. It is not safe for concurrent use.
type Log struct {
	folder   string
	segment  *os.File
	sequence uint64
	size     int64
	segments []uint64
	failed   error
	// good is the length of the newest segment before the record whose append
	// failed.
	good int64
}

// Open replays every record in order and opens the log for appending.
func Open(folder string, replay func(*wirepb.WalRecord) error) (*Log, error) {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return nil, fault.Storage.Wrap(err, "creating the log folder")
	}
	if err := datadir.SyncDir(filepath.Dir(folder)); err != nil {
		return nil, err
	}
	sequences, err := listSegments(folder)
	if err != nil {
		return nil, err
	}
	log := &Log{folder: folder, segments: sequences}
	newest, err := newestUsed(folder, sequences)
	if err != nil {
		return nil, err
	}
	for _, sequence := range sequences {
		last := sequence >= newest
		if err := log.replaySegment(sequence, last, replay); err != nil {
			return nil, err
		}
	}
	if len(sequences) == 0 {
		return log, log.rotate()
	}
	return log, log.openLast()
}

// newestUsed returns the newest segment that holds anything. A rotation that
// failed half-way leaves an empty one behind it.
func newestUsed(folder string, sequences []uint64) (uint64, error) {
	for position := len(sequences) - 1; position >= 0; position-- {
		information, err := os.Stat(segmentPath(folder, sequences[position]))
		if err != nil {
			return 0, fault.Storage.Wrap(err, "reading the size of a log segment")
		}
		if information.Size() > 0 {
			return sequences[position], nil
		}
	}
	return 0, nil
}

func segmentPath(folder string, sequence uint64) string {
	return filepath.Join(folder, fmt.Sprintf("%016x%s", sequence, segmentSuffix))
}

func listSegments(folder string) ([]uint64, error) {
	entries, err := os.ReadDir(folder)
	if err != nil {
		return nil, fault.Storage.Wrap(err, "listing log segments")
	}
	var sequences []uint64
	for _, entry := range entries {
		name, isSegment := strings.CutSuffix(entry.Name(), segmentSuffix)
		if !isSegment {
			continue
		}
		var sequence uint64
		if _, err := fmt.Sscanf(name, "%016x", &sequence); err != nil {
			return nil, fault.Corrupt.New("unexpected log segment name %q", entry.Name())
		}
		sequences = append(sequences, sequence)
	}
	sort.Slice(sequences, func(i, j int) bool { return sequences[i] < sequences[j] })
	for position, sequence := range sequences {
		if position > 0 && sequence != sequences[position-1]+1 {
			return nil, fault.Corrupt.New("log segment %d is missing", sequences[position-1]+1)
		}
	}
	return sequences, nil
}

func (l *Log) path(sequence uint64) string {
	return segmentPath(l.folder, sequence)
}

func (l *Log) replaySegment(sequence uint64, last bool, replay func(*wirepb.WalRecord) error) error {
	content, err := os.ReadFile(l.path(sequence))
	if err != nil {
		return fault.Storage.Wrap(err, "reading log segment %d", sequence)
	}
	valid, err := Decode(content, replay)
	if err != nil {
		return err
	}
	if valid == len(content) {
		return nil
	}
	if !last || HasValidRecordAfter(content[valid:]) {
		return fault.Corrupt.New("log segment %d is damaged at byte %d, before its end", sequence, valid)
	}
	return truncate(l.path(sequence), int64(valid))
}

func truncate(path string, size int64) error {
	file, err := os.OpenFile(path, os.O_RDWR, fileMode)
	if err != nil {
		return fault.Storage.Wrap(err, "opening a torn log segment")
	}
	defer func() { _ = file.Close() }()
	if err := file.Truncate(size); err != nil {
		return fault.Storage.Wrap(err, "cutting off a torn record")
	}
	if err := file.Sync(); err != nil {
		return fault.Storage.Wrap(err, "syncing a repaired log segment")
	}
	return nil
}

// Decode calls replay for each valid record from the start of content and
// returns how many bytes they take.
func Decode(content []byte, replay func(*wirepb.WalRecord) error) (int, error) {
	offset := 0
	for {
		record, size := decodeRecord(content[offset:])
		if record == nil {
			return offset, nil
		}
		if err := replay(record); err != nil {
			return offset, err
		}
		offset += size
	}
}

func decodeRecord(content []byte) (*wirepb.WalRecord, int) {
	if len(content) < headerBytes {
		return nil, 0
	}
	length := binary.LittleEndian.Uint32(content)
	if length == 0 || length > maxRecordBytes || int(length) > len(content)-headerBytes {
		return nil, 0
	}
	checksum := binary.LittleEndian.Uint32(content[4:])
	payload := content[headerBytes : headerBytes+int(length)]
	if checksumOf(content[:4], payload) != checksum {
		return nil, 0
	}
	record := &wirepb.WalRecord{}
	if proto.Unmarshal(payload, record) != nil {
		return nil, 0
	}
	return record, headerBytes + int(length)
}

func checksumOf(length, payload []byte) uint32 {
	return crc32.Update(crc32.Checksum(length, castagnoli), castagnoli, payload)
}

// HasValidRecordAfter tells a torn tail from damage in the middle: it looks
// for a whole record at any later offset.
func HasValidRecordAfter(content []byte) bool {
	if len(bytes.Trim(content, "\x00")) == 0 {
		return false
	}
	for offset := 1; offset+headerBytes < len(content); offset++ {
		if record, _ := decodeRecord(content[offset:]); record != nil {
			return true
		}
	}
	return false
}

// Encode returns the stored form of a record.
func Encode(record *wirepb.WalRecord) ([]byte, error) {
	payload, err := proto.Marshal(record)
	if err != nil {
		return nil, fault.Internal.Wrap(err, "encoding a log record")
	}
	if len(payload) > maxRecordBytes {
		return nil, fault.Storage.New("log record of %d bytes exceeds the limit", len(payload))
	}
	encoded := make([]byte, headerBytes, headerBytes+len(payload))
	binary.LittleEndian.PutUint32(encoded, uint32(len(payload)))
	binary.LittleEndian.PutUint32(encoded[4:], checksumOf(encoded[:4], payload))
	return append(encoded, payload...), nil
}

func (l *Log) openLast() error {
	l.sequence = l.segments[len(l.segments)-1]
	file, err := os.OpenFile(l.path(l.sequence), os.O_WRONLY|os.O_APPEND, fileMode)
	if err != nil {
		return fault.Storage.Wrap(err, "opening the newest log segment")
	}
	information, err := file.Stat()
	if err != nil {
		return fault.Storage.Wrap(err, "reading the size of the newest log segment")
	}
	l.segment = file
	l.size = information.Size()
	return nil
}

// Append writes one record and syncs it. It takes no more than one, because a
// torn write of several could leave a whole record behind a broken one, which
// Open takes for damage. After a failure the log refuses every further append:
// what reached the disk is not known any more.
func (l *Log) Append(record *wirepb.WalRecord) error {
	if l.failed != nil {
		return l.failed
	}
	good := l.size
	if err := l.append(record); err != nil {
		l.failed = err
		l.good = good
		return err
	}
	if l.size >= SegmentBytes {
		// Without a new segment the present one grows on.
		_ = l.Rotate()
	}
	return nil
}

// Repair makes the log usable again after a failed Append: it cuts off whatever
// of the record reached the newest segment. The record itself is lost, and must
// be appended again before anything may depend on it.
func (l *Log) Repair() error {
	if l.failed == nil {
		return nil
	}
	if err := truncate(l.path(l.sequence), l.good); err != nil {
		return err
	}
	file, err := os.OpenFile(l.path(l.sequence), os.O_WRONLY|os.O_APPEND, fileMode)
	if err != nil {
		return fault.Storage.Wrap(err, "opening a repaired log segment")
	}
	_ = l.segment.Close()
	l.segment = file
	l.size = l.good
	l.failed = nil
	return nil
}

func (l *Log) append(record *wirepb.WalRecord) error {
	encoded, err := Encode(record)
	if err != nil {
		return err
	}
	written, err := l.segment.Write(encoded)
	l.size += int64(written)
	if err != nil {
		return fault.Storage.Wrap(err, "appending to the log")
	}
	if err := l.segment.Sync(); err != nil {
		return fault.Storage.Wrap(err, "syncing the log")
	}
	return nil
}

// Rotate begins a new segment. Where that fails, the present one stays in use.
func (l *Log) Rotate() error {
	if l.failed != nil {
		return l.failed
	}
	return l.rotate()
}

func (l *Log) rotate() error {
	next := l.sequence + 1
	file, err := os.OpenFile(l.path(next), os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND, fileMode)
	if err != nil {
		return fault.Storage.Wrap(err, "creating a log segment")
	}
	if err := datadir.SyncDir(l.folder); err != nil {
		// An empty segment may stay behind; it is used when this is repeated.
		_ = file.Close()
		return err
	}
	if l.segment != nil {
		_ = l.segment.Close()
	}
	l.segment = file
	l.sequence = next
	l.size = 0
	l.segments = append(l.segments, next)
	return nil
}

// Restart begins a new segment with the given record and removes all older
// ones. The record must hold everything still needed, because a snapshot
// covers the rest.
func (l *Log) Restart(record *wirepb.WalRecord) error {
	if err := l.Rotate(); err != nil {
		return err
	}
	if err := l.Append(record); err != nil {
		return err
	}
	// One after the other: after a loss of power each removal may have
	// happened or not, and a gap in the sequence would look like damage.
	for len(l.segments) > 0 && l.segments[0] < l.sequence {
		if err := os.Remove(l.path(l.segments[0])); err != nil {
			return fault.Storage.Wrap(err, "removing a log segment")
		}
		if err := datadir.SyncDir(l.folder); err != nil {
			return err
		}
		l.segments = l.segments[1:]
	}
	return nil
}

// Size returns the bytes in the newest segment.
func (l *Log) Size() int64 {
	return l.size
}

// Close closes the newest segment.
func (l *Log) Close() error {
	return l.segment.Close()
}
