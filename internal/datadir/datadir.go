// Package datadir owns the data folder of a node: one process at a time, one
// format version.
package datadir

import (
	"os"
	"path/filepath"
	"strings"
	"syscall"

	"github.com/weldline/weldline/internal/fault"
)

const (
	// FormatVersion is written to new folders; others are refused.
	FormatVersion = "weldline-data-1"
	versionFile   = "FORMAT"
	lockFile      = "LOCK"
	folderMode    = 0o750
	fileMode      = 0o640
)

// Dir is a locked data folder.
type Dir struct {
	path string
	lock *os.File
}

// Open creates or opens the folder, takes its lock and checks its format.
func Open(path string) (*Dir, error) {
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
	dir := &Dir{path: path, lock: lock}
	if err := dir.checkFormat(); err != nil {
		_ = lock.Close()
		return nil, err
	}
	return dir, nil
}

// Path returns the path of a file or folder inside the data folder.
func (d *Dir) Path(name string) string {
	return filepath.Join(d.path, name)
}

// Close releases the lock.
func (d *Dir) Close() error {
	return d.lock.Close()
}

func (d *Dir) checkFormat() error {
	path := d.Path(versionFile)
	content, err := os.ReadFile(path)
	if os.IsNotExist(err) {
		return WriteFileSynced(path, []byte(FormatVersion+"\n"))
	}
	if err != nil {
		return fault.Storage.Wrap(err, "reading the format version")
	}
	found := strings.TrimSpace(string(content))
	if found != FormatVersion {
		return fault.Corrupt.New("data folder has format %q, this program writes %q", found, FormatVersion)
	}
	return nil
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
