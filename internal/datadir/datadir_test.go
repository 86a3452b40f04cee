package datadir

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/weldline/weldline/internal/fault"
)

// TestIdentity lists which folders a node may open.
func TestIdentity(t *testing.T) {
	path := filepath.Join(t.TempDir(), "data")
	if _, _, err := Open(path, "cluster", 1); !fault.Is(err, fault.Invalid) || fault.FieldOf(err) != "dataDir" {
		t.Errorf("a folder that was not initialised: %v", err)
	}
	if err := Init(path, Identity{Cluster: "cluster", ControlID: 1, Join: true}); err != nil {
		t.Fatal(err)
	}
	if err := Init(path, Identity{Cluster: "cluster", ControlID: 1}); !fault.Is(err, fault.Conflict) {
		t.Errorf("initialised twice: %v", err)
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
		t.Errorf("a damaged identity: %v", err)
	}
}
