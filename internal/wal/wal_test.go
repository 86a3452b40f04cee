package wal

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

func record(term uint64) *wirepb.WalRecord {
	return &wirepb.WalRecord{
		HardState: &wirepb.HardState{Term: term},
		Entries:   []*wirepb.Entry{{Term: term, Index: term, Data: bytes.Repeat([]byte{byte(term)}, 20)}},
	}
}

// writeLog writes a log of records 1 to count and returns its directory and the path of its
// only segment.
func writeLog(t *testing.T, count uint64) (directory, segment string) {
	t.Helper()
	directory = t.TempDir()
	log, err := Open(directory, func(*wirepb.WalRecord) error { return nil })
	if err != nil {
		t.Fatal(err)
	}
	for term := uint64(1); term <= count; term++ {
		if err := log.Append(record(term)); err != nil {
			t.Fatal(err)
		}
	}
	if err := log.Close(); err != nil {
		t.Fatal(err)
	}
	segments, err := filepath.Glob(filepath.Join(directory, "*"+segmentSuffix))
	if err != nil || len(segments) != 1 {
		t.Fatal(segments, err)
	}
	return directory, segments[0]
}

func replayTerms(directory string) (terms []uint64, err error) {
	log, err := Open(directory, func(record *wirepb.WalRecord) error {
		terms = append(terms, record.GetHardState().GetTerm())
		return nil
	})
	if err == nil {
		err = log.Close()
	}
	return terms, err
}

// TestCorruption modifies a log of three records as a crash or a faulty disk may. An incomplete
// end is truncated; corruption before valid records is an error.
func TestCorruption(t *testing.T) {
	tests := []struct {
		name    string
		damage  func(content []byte) []byte
		records int
		corrupt bool
	}{
		{"none", func(content []byte) []byte { return content }, 3, false},
		{"one byte is missing", func(content []byte) []byte { return content[:len(content)-1] }, 2, false},
		{"only a header is left", func(content []byte) []byte { return content[:2*len(content)/3+headerBytes] }, 2, false},
		{"the last record is zeros", func(content []byte) []byte {
			clear(content[2*len(content)/3:])
			return content
		}, 2, false},
		{"zeros follow", func(content []byte) []byte { return append(content, make([]byte, 100)...) }, 3, false},
		{"a byte in the last record", func(content []byte) []byte {
			content[len(content)-3]++
			return content
		}, 2, false},
		{"a byte in the first record", func(content []byte) []byte {
			content[headerBytes+3]++
			return content
		}, 0, true},
		{"the first length", func(content []byte) []byte {
			content[0] = 0xff
			return content
		}, 0, true},
		{"the second record is zeros", func(content []byte) []byte {
			clear(content[len(content)/3 : 2*len(content)/3])
			return content
		}, 0, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			directory, segment := writeLog(t, 3)
			content, err := os.ReadFile(segment)
			if err != nil {
				t.Fatal(err)
			}
			if err := os.WriteFile(segment, test.damage(content), 0o600); err != nil {
				t.Fatal(err)
			}
			terms, err := replayTerms(directory)
			if test.corrupt {
				if !fault.Is(err, fault.Corrupt) {
					t.Errorf("opened with %v", err)
				}
				return
			}
			if err != nil || len(terms) != test.records {
				t.Fatalf("%v, %v", terms, err)
			}
			if again, err := replayTerms(directory); err != nil || len(again) != test.records {
				t.Errorf("after the repair: %v, %v", again, err)
			}
		})
	}
}

func TestMissingSegmentIsRejected(t *testing.T) {
	directory := t.TempDir()
	log, err := Open(directory, func(*wirepb.WalRecord) error { return nil })
	if err != nil {
		t.Fatal(err)
	}
	for term := uint64(1); term <= 3; term++ {
		if err := log.Append(record(term)); err != nil {
			t.Fatal(err)
		}
		if err := log.Rotate(); err != nil {
			t.Fatal(err)
		}
	}
	_ = log.Close()
	segments, _ := filepath.Glob(filepath.Join(directory, "*"+segmentSuffix))
	if err := os.Remove(segments[1]); err != nil {
		t.Fatal(err)
	}
	if _, err := replayTerms(directory); !fault.Is(err, fault.Corrupt) {
		t.Errorf("opened with %v", err)
	}
}

func TestRestartRemovesOlderRecords(t *testing.T) {
	directory, _ := writeLog(t, 3)
	log, err := Open(directory, func(*wirepb.WalRecord) error { return nil })
	if err != nil {
		t.Fatal(err)
	}
	if err := log.Restart(record(9)); err != nil {
		t.Fatal(err)
	}
	if err := log.Append(record(10)); err != nil {
		t.Fatal(err)
	}
	_ = log.Close()
	if terms, err := replayTerms(directory); err != nil || len(terms) != 2 || terms[0] != 9 || terms[1] != 10 {
		t.Errorf("%v, %v", terms, err)
	}
}

// FuzzDecode decodes arbitrary bytes. It must not panic, and the valid prefix must decode to the
// same number of records.
func FuzzDecode(f *testing.F) {
	encoded, err := Encode(record(1))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(encoded)
	f.Add(append(append([]byte{}, encoded...), encoded[:7]...))
	f.Add(make([]byte, 64))
	f.Fuzz(func(t *testing.T, content []byte) {
		count := 0
		valid, err := Decode(content, func(*wirepb.WalRecord) error {
			count++
			return nil
		})
		if err != nil || valid > len(content) {
			t.Fatalf("%d of %d bytes valid, %v", valid, len(content), err)
		}
		again := 0
		if rest, _ := Decode(content[:valid], func(*wirepb.WalRecord) error {
			again++
			return nil
		}); rest != valid || again != count {
			t.Errorf("%d records in %d bytes, then %d in %d", count, valid, again, rest)
		}
	})
}

// TestRepairAfterFailedAppend checks that acknowledged records survive a failed append and that
// the failed record is gone.
func TestRepairAfterFailedAppend(t *testing.T) {
	directory := t.TempDir()
	log, err := Open(directory, func(*wirepb.WalRecord) error { return nil })
	if err != nil {
		t.Fatal(err)
	}
	if err := log.Append(record(1)); err != nil {
		t.Fatal(err)
	}
	writable := log.segment
	readOnly, err := os.Open(writable.Name())
	if err != nil {
		t.Fatal(err)
	}
	log.segment = readOnly
	for range 2 {
		if err := log.Append(record(2)); !fault.Is(err, fault.Storage) {
			t.Fatalf("an append to a read-only file: %v", err)
		}
	}
	// The failed append wrote a part of the record.
	if _, err := writable.WriteString("torn"); err != nil {
		t.Fatal(err)
	}
	if err := log.Repair(); err != nil {
		t.Fatal(err)
	}
	if err := log.Append(record(3)); err != nil {
		t.Fatal(err)
	}
	if err := log.Close(); err != nil {
		t.Fatal(err)
	}
	terms, err := replayTerms(directory)
	if err != nil || len(terms) != 2 || terms[0] != 1 || terms[1] != 3 {
		t.Errorf("replayed %v, %v", terms, err)
	}
}

// TestEmptySegmentAfterIncompleteRecord covers a failed rotation, which leaves an empty segment,
// followed by a crash during an append to the previous one.
func TestEmptySegmentAfterIncompleteRecord(t *testing.T) {
	directory, segment := writeLog(t, 2)
	content, err := os.ReadFile(segment)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(segment, content[:len(content)-3], fileMode); err != nil {
		t.Fatal(err)
	}
	log := &Log{directory: directory}
	if err := os.WriteFile(log.path(2), nil, fileMode); err != nil {
		t.Fatal(err)
	}
	terms, err := replayTerms(directory)
	if err != nil || len(terms) != 1 || terms[0] != 1 {
		t.Errorf("replayed %v, %v", terms, err)
	}
}
