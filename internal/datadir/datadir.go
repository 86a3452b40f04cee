// Package datadir owns the data folder of a node: one process at a time, one
// format version.
package datadir

import (
	"encoding/json"
	"os"
	"path/filepath"
	"syscall"

	"github.com/weldline/weldline/internal/fault"
)

const (
	// FormatVersion is written to new folders; others are refused.
	FormatVersion = "weldline-data-1"
	identityFile  = "IDENTITY"
	lockFile      = "LOCK"
	folderMode    = 0o750
	fileMode      = 0o640
)

// Identity says whose folder it is. It is written once, by Init: a control
// node that finds none must not start, because a voter whose disk was lost has
// forgotten its promises.
type Identity struct {
	Format  string `json:"format"`
	Cluster string `json:"cluster"`
	// ControlID is the node's id in the replicated log.
	ControlID uint64 `json:"controlId"`
	// Join is set for a node that joins a running cluster. It knows no
	// members until it has heard of them, and does not vote before.
	Join bool `json:"join,omitempty"`
	// FirstVoters are the addresses of the first voters, where this node is one of
	// them and they found each other by formation.
	FirstVoters []string `json:"first,omitempty"`
}

// Dir is a locked data folder.
type Dir struct {
	path string
	lock *os.File
}

// Init makes a new data folder. It fails where there is one already.
func Init(path string, identity Identity) error {
	dir, err := lockFolder(path)
	if err != nil {
		return err
	}
	defer func() { _ = dir.Close() }()
	if _, err := os.Stat(dir.Path(identityFile)); err == nil {
		return fault.Conflict.New("the data folder is initialised already")
	}
	return dir.writeIdentity(identity)
}

// Open takes the lock of an initialised folder and checks that it belongs to
// the given node.
func Open(path, cluster string, controlID uint64) (*Dir, Identity, error) {
	dir, err := lockFolder(path)
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

// OpenOrInit takes the lock of a folder; where it holds no identity, form gives
// it one. An identity lives and dies with its disk: a node whose disk was lost
// must not go on as the one that made promises.
func OpenOrInit(path, cluster string, form func() Identity) (*Dir, Identity, error) {
	dir, err := lockFolder(path)
	if err != nil {
		return nil, Identity{}, err
	}
	identity, err := dir.identityOrForm(form)
	if err == nil {
		identity, err = dir.checkIdentity(cluster, identity.ControlID)
	}
	if err != nil {
		_ = dir.Close()
		return nil, Identity{}, err
	}
	return dir, identity, nil
}

func (d *Dir) identityOrForm(form func() Identity) (Identity, error) {
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
	identity = form()
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

func lockFolder(path string) (*Dir, error) {
	if err := os.MkdirAll(path, folderMode); err != nil {
		return nil, fault.Storage.Wrap(err, "creating the data folder")
	}
	lock, err := os.OpenFile(filepath.Join(path, lockFile), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, fault.Storage.Wrap(err, "opening the lock file")
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = lock.Close()
		return nil, fault.Storage.Wrap(err, "another process holds the data folder")
	}
	return &Dir{path: path, lock: lock}, nil
}

// Path returns the path of a file or folder inside the data folder.
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
			"the data folder is not initialised; run weldline init once for a new node, never for one that lost its disk")
	}
	if err != nil {
		return identity, fault.Storage.Wrap(err, "reading the identity")
	}
	if err := json.Unmarshal(content, &identity); err != nil {
		return identity, fault.Corrupt.Wrap(err, "decoding the identity")
	}
	switch {
	case identity.Format != FormatVersion:
		return identity, fault.Corrupt.New("data folder has format %q, this program writes %q", identity.Format, FormatVersion)
	case identity.Cluster != cluster:
		return identity, fault.InvalidField("cluster", "the data folder belongs to cluster %q", identity.Cluster)
	case identity.ControlID != controlID:
		return identity, fault.InvalidField("control.id", "the data folder belongs to control node %d", identity.ControlID)
	}
	return identity, nil
}

// WriteFileSynced replaces a file atomically: the content is synced under a
// temporary name, renamed, and the folder synced.
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

// SyncDir makes creations, renames and removals in a folder durable.
func SyncDir(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return fault.Storage.Wrap(err, "opening a folder to sync it")
	}
	defer func() { _ = folder.Close() }()
	if err := folder.Sync(); err != nil {
		return fault.Storage.Wrap(err, "syncing a folder")
	}
	return nil
}
