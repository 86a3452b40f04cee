package datadir

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/weldline/weldline/internal/fault"
)

// TestIdentity checks which data directories a node may initialize and open.
func TestIdentity(t *testing.T) {
	path := filepath.Join(t.TempDir(), "data")
	if _, _, err := Open(path, "cluster", 1); !fault.Is(err, fault.Invalid) || fault.FieldOf(err) != "dataDir" {
		t.Errorf("not initialized: %v", err)
	}
	if err := Init(path, Identity{Cluster: "cluster", ControlID: 1, Join: true}); err != nil {
		t.Fatal(err)
	}
	if err := Init(path, Identity{Cluster: "cluster", ControlID: 1}); !fault.Is(err, fault.Conflict) {
		t.Errorf("initialized twice: %v", err)
	}
	if _, _, err := Open(path, "other", 1); fault.FieldOf(err) != "cluster" {
		t.Errorf("another cluster: %v", err)
	}
	if _, _, err := Open(path, "cluster", 2); fault.FieldOf(err) != "control.id" {
		t.Errorf("another node: %v", err)
	}
	dir, identity, err := Open(path, "cluster", 1)
	if err != nil || !identity.Join {
		t.Fatalf("%+v, %v", identity, err)
	}
	if _, _, err := Open(path, "cluster", 1); !fault.Is(err, fault.Storage) {
		t.Errorf("opened twice: %v", err)
	}
	if err := dir.Close(); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(path, identityFile), []byte("{"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, _, err := Open(path, "cluster", 1); !fault.Is(err, fault.Corrupt) {
		t.Errorf("corrupt identity: %v", err)
	}
}
