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

// written makes a log of records 1 to count and returns its folder and the
// path of its only segment.
func written(t *testing.T, count uint64) (folder, segment string) {
	t.Helper()
	folder = t.TempDir()
	log, err := Open(folder, func(*wirepb.WalRecord) error { return nil })
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
	segments, err := filepath.Glob(filepath.Join(folder, "*"+segmentSuffix))
	if err != nil || len(segments) != 1 {
		t.Fatal(segments, err)
	}
	return folder, segments[0]
}

func replayed(folder string) (terms []uint64, err error) {
	log, err := Open(folder, func(record *wirepb.WalRecord) error {
		terms = append(terms, record.GetHardState().GetTerm())
		return nil
	})
	if err == nil {
		err = log.Close()
	}
	return terms, err
}

// TestDamage damages a log of three records in every way that a crash or a bad
// disk may. A torn end is cut off; damage before valid records is refused.
func TestDamage(t *testing.T) {
	cases := []struct {
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
	for _, entry := range cases {
		t.Run(entry.name, func(t *testing.T) {
			folder, segment := written(t, 3)
			content, err := os.ReadFile(segment)
			if err != nil {
				t.Fatal(err)
			}
			if err := os.WriteFile(segment, entry.damage(content), 0o600); err != nil {
				t.Fatal(err)
			}
			terms, err := replayed(folder)
			if entry.corrupt {
				if !fault.Is(err, fault.Corrupt) {
					t.Errorf("opened with %v", err)
				}
				return
			}
			if err != nil || len(terms) != entry.records {
				t.Fatalf("%v, %v", terms, err)
			}
			if again, err := replayed(folder); err != nil || len(again) != entry.records {
				t.Errorf("after the repair: %v, %v", again, err)
			}
		})
	}
}

// TestMissingSegmentIsRefused removes a segment between two others.
func TestMissingSegmentIsRefused(t *testing.T) {
	folder := t.TempDir()
	log, err := Open(folder, func(*wirepb.WalRecord) error { return nil })
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
	segments, _ := filepath.Glob(filepath.Join(folder, "*"+segmentSuffix))
	if err := os.Remove(segments[1]); err != nil {
		t.Fatal(err)
	}
	if _, err := replayed(folder); !fault.Is(err, fault.Corrupt) {
		t.Errorf("opened with %v", err)
	}
}

// TestRestartKeepsOnlyTheRest replaces a log by one record.
func TestRestartKeepsOnlyTheRest(t *testing.T) {
	folder, _ := written(t, 3)
	log, err := Open(folder, func(*wirepb.WalRecord) error { return nil })
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
	if terms, err := replayed(folder); err != nil || len(terms) != 2 || terms[0] != 9 || terms[1] != 10 {
		t.Errorf("%v, %v", terms, err)
	}
}

// FuzzDecode feeds a segment of any bytes: no panic, and what is called valid
// decodes to the same again.
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

// TestRepairAfterAFailedAppend: a disk that took nothing for a time must not end
// the log. What was not acknowledged is gone, what was is there.
func TestRepairAfterAFailedAppend(t *testing.T) {
	folder := t.TempDir()
	log, err := Open(folder, func(*wirepb.WalRecord) error { return nil })
	if err != nil {
		t.Fatal(err)
	}
	if err := log.Append(record(1)); err != nil {
		t.Fatal(err)
	}
	writable := log.segment
	refusing, err := os.Open(writable.Name())
	if err != nil {
		t.Fatal(err)
	}
	log.segment = refusing
	for range 2 {
		if err := log.Append(record(2)); !fault.Is(err, fault.Storage) {
			t.Fatalf("an append to a file that refuses writes: %v", err)
		}
	}
	// A part of the record had reached the file.
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
	terms, err := replayed(folder)
	if err != nil || len(terms) != 2 || terms[0] != 1 || terms[1] != 3 {
		t.Errorf("replayed %v, %v", terms, err)
	}
}

// TestEmptySegmentAfterATornOne: a rotation that failed left an empty segment,
// the one before it grew on, and its end was torn by a loss of power.
func TestEmptySegmentAfterATornOne(t *testing.T) {
	folder, segment := written(t, 2)
	content, err := os.ReadFile(segment)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(segment, content[:len(content)-3], fileMode); err != nil {
		t.Fatal(err)
	}
	log := &Log{folder: folder}
	if err := os.WriteFile(log.path(2), nil, fileMode); err != nil {
		t.Fatal(err)
	}
	terms, err := replayed(folder)
	if err != nil || len(terms) != 1 || terms[0] != 1 {
		t.Errorf("replayed %v, %v", terms, err)
	}
}
