// Package wal is the segmented write-ahead log of a control node.
//
// A record is a 4-byte little-endian length, a 4-byte CRC-32C of the length
// and payload, and a WalRecord as payload. Append returns only after fsync, so that no message
// depends on a record that a crash could lose.
//
// A crash can only leave an incomplete record at the end of the newest segment; Open truncates
// it. An invalid record anywhere else means that acknowledged data was lost, and Open fails.
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
	// SegmentBytes is the size after which the log rotates to a new segment.
	SegmentBytes   = 8 << 20
	maxRecordBytes = 64 << 20
	headerBytes    = 8
	segmentSuffix  = ".wal"
	fileMode       = 0o640
	directoryMode  = 0o750
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Log is an open write-ahead log. It is not safe for concurrent use.
type Log struct {
	directory string
	// segment is the newest segment; sequence and size are its number and length.
	segment  *os.File
	sequence uint64
	size     int64
	segments []uint64
	// failed is the error of the last Append, until Repair succeeds.
	failed error
	// validSize is the length of the newest segment without the failed record.
	validSize int64
}

// Open replays every record in order and opens the log for appending.
func Open(directory string, replay func(*wirepb.WalRecord) error) (*Log, error) {
	if err := os.MkdirAll(directory, directoryMode); err != nil {
		return nil, fault.Storage.Wrap(err, "creating the log directory")
	}
	if err := datadir.SyncDir(filepath.Dir(directory)); err != nil {
		return nil, err
	}
	sequences, err := listSegments(directory)
	if err != nil {
		return nil, err
	}
	log := &Log{directory: directory, segments: sequences}
	newest, err := newestNonEmpty(directory, sequences)
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

// newestNonEmpty returns the newest segment that is not empty. A failed rotation may leave an
// empty segment after it.
func newestNonEmpty(directory string, sequences []uint64) (uint64, error) {
	for position := len(sequences) - 1; position >= 0; position-- {
		information, err := os.Stat(segmentPath(directory, sequences[position]))
		if err != nil {
			return 0, fault.Storage.Wrap(err, "reading the size of a log segment")
		}
		if information.Size() > 0 {
			return sequences[position], nil
		}
	}
	return 0, nil
}

func segmentPath(directory string, sequence uint64) string {
	return filepath.Join(directory, fmt.Sprintf("%016x%s", sequence, segmentSuffix))
}

func listSegments(directory string) ([]uint64, error) {
	entries, err := os.ReadDir(directory)
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
	return segmentPath(l.directory, sequence)
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
		return fault.Corrupt.New("log segment %d is corrupt at byte %d, before its end", sequence, valid)
	}
	return truncate(l.path(sequence), int64(valid))
}

func truncate(path string, size int64) error {
	file, err := os.OpenFile(path, os.O_RDWR, fileMode)
	if err != nil {
		return fault.Storage.Wrap(err, "opening a log segment to truncate it")
	}
	defer func() { _ = file.Close() }()
	if err := file.Truncate(size); err != nil {
		return fault.Storage.Wrap(err, "truncating a log segment")
	}
	if err := file.Sync(); err != nil {
		return fault.Storage.Wrap(err, "syncing a truncated log segment")
	}
	return nil
}

// Decode calls replay for each record up to the first invalid one and returns the number of
// valid bytes.
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

// HasValidRecordAfter distinguishes corruption from an incomplete record at the end of a segment:
// it reports whether a valid record starts at any later offset.
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

// Encode returns the on-disk encoding of a record.
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

// Append writes one record and syncs it. It does not batch records, because a partial write of
// several could leave a valid record after an invalid one, which Open treats as corruption.
// After a failure the content of the disk is unknown, and Append fails until Repair succeeds.
func (l *Log) Append(record *wirepb.WalRecord) error {
	if l.failed != nil {
		return l.failed
	}
	validSize := l.size
	if err := l.append(record); err != nil {
		l.failed = err
		l.validSize = validSize
		return err
	}
	if l.size >= SegmentBytes {
		// If the rotation fails, the current segment keeps growing.
		_ = l.Rotate()
	}
	return nil
}

// Repair makes the log usable after a failed Append: it truncates what was written of the record.
// The caller has to append the record again.
func (l *Log) Repair() error {
	if l.failed == nil {
		return nil
	}
	if err := truncate(l.path(l.sequence), l.validSize); err != nil {
		return err
	}
	file, err := os.OpenFile(l.path(l.sequence), os.O_WRONLY|os.O_APPEND, fileMode)
	if err != nil {
		return fault.Storage.Wrap(err, "reopening a repaired log segment")
	}
	_ = l.segment.Close()
	l.segment = file
	l.size = l.validSize
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

// Rotate starts a new segment. If that fails, the current one stays in use.
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
	if err := datadir.SyncDir(l.directory); err != nil {
		// The empty segment may remain; the next rotation reuses it.
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

// Restart starts a new segment with a record and removes all older segments. The record must
// hold everything that the snapshot does not cover.
func (l *Log) Restart(record *wirepb.WalRecord) error {
	if err := l.Rotate(); err != nil {
		return err
	}
	if err := l.Append(record); err != nil {
		return err
	}
	// Each removal is synced before the next one: a power loss must not leave a gap in the
	// sequence, which Open treats as corruption.
	for len(l.segments) > 0 && l.segments[0] < l.sequence {
		if err := os.Remove(l.path(l.segments[0])); err != nil {
			return fault.Storage.Wrap(err, "removing a log segment")
		}
		if err := datadir.SyncDir(l.directory); err != nil {
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

// Close closes the newest segment, after which the log must not be used. Appended records are already
// synced.
func (l *Log) Close() error {
	return l.segment.Close()
}
