// Package datadir manages a node's data directory. It locks the directory for one process at a time
// and checks its format version and the node's identity.
package datadir

import (
	"encoding/json"
	"os"
	"path/filepath"
	"syscall"

	"github.com/weldline/weldline/internal/fault"
)

const (
	// FormatVersion is the only supported format of data directories.
	FormatVersion = "weldline-data-1"
	identityFile  = "IDENTITY"
	lockFile      = "LOCK"
	directoryMode = 0o750
	fileMode      = 0o640
)

// Identity identifies the owner of a data directory. It is written once. A control node must not
// start with an empty directory under its old id, because a voter that lost its disk no longer
// knows its votes and acknowledged entries.
type Identity struct {
	Format  string `json:"format"`
	Cluster string `json:"cluster"`
	// ControlID is the node's id in the replicated log.
	ControlID uint64 `json:"controlId"`
	// Join is set for a node that joins a running cluster. It does not vote until it has learned
	// the membership.
	Join bool `json:"join,omitempty"`
	// FirstVoters holds the addresses of the initial voters if this node is one of them and the
	// cluster was formed through seeds.
	FirstVoters []string `json:"first,omitempty"`
}

// Dir is a locked data directory.
type Dir struct {
	path string
	lock *os.File
}

// Init initializes a data directory. It fails if the directory is already initialized.
func Init(path string, identity Identity) error {
	dir, err := lockDirectory(path)
	if err != nil {
		return err
	}
	defer func() { _ = dir.Close() }()
	if _, err := os.Stat(dir.Path(identityFile)); err == nil {
		return fault.Conflict.New("the data directory is already initialized")
	}
	return dir.writeIdentity(identity)
}

// Open locks an initialized data directory and checks that it belongs to the given node.
func Open(path, cluster string, controlID uint64) (*Dir, Identity, error) {
	dir, err := lockDirectory(path)
	if err != nil {
		return nil, Identity{}, err
	}
	identity, err := dir.checkIdentity(cluster, controlID)
	if err != nil {
		_ = dir.Close()
		return nil, Identity{}, err
	}
	return dir, identity, nil
}

// OpenOrInit locks a data directory and initializes it with the result of newIdentity if it has no
// identity.
func OpenOrInit(path, cluster string, newIdentity func() Identity) (*Dir, Identity, error) {
	dir, err := lockDirectory(path)
	if err != nil {
		return nil, Identity{}, err
	}
	identity, err := dir.readOrInitIdentity(newIdentity)
	if err == nil {
		identity, err = dir.checkIdentity(cluster, identity.ControlID)
	}
	if err != nil {
		_ = dir.Close()
		return nil, Identity{}, err
	}
	return dir, identity, nil
}

func (d *Dir) readOrInitIdentity(newIdentity func() Identity) (Identity, error) {
	identity := Identity{}
	content, err := os.ReadFile(d.Path(identityFile))
	if err == nil {
		if err := json.Unmarshal(content, &identity); err != nil {
			return identity, fault.Corrupt.Wrap(err, "decoding the identity")
		}
		return identity, nil
	}
	if !os.IsNotExist(err) {
		return identity, fault.Storage.Wrap(err, "reading the identity")
	}
	identity = newIdentity()
	return identity, d.writeIdentity(identity)
}

func (d *Dir) writeIdentity(identity Identity) error {
	identity.Format = FormatVersion
	content, err := json.MarshalIndent(identity, "", "  ")
	if err != nil {
		return fault.Internal.Wrap(err, "encoding the identity")
	}
	return WriteFileSynced(d.Path(identityFile), append(content, '\n'))
}

func lockDirectory(path string) (*Dir, error) {
	if err := os.MkdirAll(path, directoryMode); err != nil {
		return nil, fault.Storage.Wrap(err, "creating the data directory")
	}
	lock, err := os.OpenFile(filepath.Join(path, lockFile), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, fault.Storage.Wrap(err, "opening the lock file")
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = lock.Close()
		return nil, fault.Storage.Wrap(err, "the data directory is locked by another process")
	}
	return &Dir{path: path, lock: lock}, nil
}

// Path returns the path of a file or directory inside the data directory.
func (d *Dir) Path(name string) string {
	return filepath.Join(d.path, name)
}

// Close releases the lock.
func (d *Dir) Close() error {
	return d.lock.Close()
}

func (d *Dir) checkIdentity(cluster string, controlID uint64) (Identity, error) {
	identity := Identity{}
	content, err := os.ReadFile(d.Path(identityFile))
	if os.IsNotExist(err) {
		return identity, fault.InvalidField("dataDir",
			"the data directory is not initialized; run weldline init once for a new node, never for one that lost its disk")
	}
	if err != nil {
		return identity, fault.Storage.Wrap(err, "reading the identity")
	}
	if err := json.Unmarshal(content, &identity); err != nil {
		return identity, fault.Corrupt.Wrap(err, "decoding the identity")
	}
	switch {
	case identity.Format != FormatVersion:
		return identity, fault.Corrupt.New("the data directory has format %q, this build supports %q", identity.Format, FormatVersion)
	case identity.Cluster != cluster:
		return identity, fault.InvalidField("cluster", "the data directory belongs to cluster %q", identity.Cluster)
	case identity.ControlID != controlID:
		return identity, fault.InvalidField("control.id", "the data directory belongs to control node %d", identity.ControlID)
	}
	return identity, nil
}

// WriteFileSynced replaces a file atomically and durably: it syncs a temporary file, renames it and
// syncs the directory.
func WriteFileSynced(path string, content []byte) error {
	temporary := path + ".tmp"
	file, err := os.OpenFile(temporary, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
	if err != nil {
		return fault.Storage.Wrap(err, "creating %s", filepath.Base(temporary))
	}
	_, err = file.Write(content)
	if err == nil {
		err = file.Sync()
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return fault.Storage.Wrap(err, "writing %s", filepath.Base(temporary))
	}
	if err := os.Rename(temporary, path); err != nil {
		return fault.Storage.Wrap(err, "renaming %s", filepath.Base(temporary))
	}
	return SyncDir(filepath.Dir(path))
}

// SyncDir makes file creations, renames and removals in a directory durable.
func SyncDir(path string) error {
	directory, err := os.Open(path)
	if err != nil {
		return fault.Storage.Wrap(err, "opening a directory to sync it")
	}
	defer func() { _ = directory.Close() }()
	if err := directory.Sync(); err != nil {
		return fault.Storage.Wrap(err, "syncing a directory")
	}
	return nil
}
