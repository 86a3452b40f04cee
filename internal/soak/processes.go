package soak

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"

	"github.com/weldline/weldline/internal/fault"
)

// Processes signals the processes of a soak. Their supervisor, scripts/soak.sh, writes the id of each process
// to a file named after its node and restarts processes that end. No other process is signalled.
type Processes struct {
	// Folder holds the process ids, and the marker files that the supervisor reads.
	Folder string
}

// MarkDiskLost makes the supervisor remove a node's data folder before it starts the node the next time.
func (p Processes) MarkDiskLost(node string) error {
	if err := os.WriteFile(filepath.Join(p.Folder, "lose-"+node), nil, 0o644); err != nil {
		return fault.Storage.Wrap(err, "writing the lost-disk marker of %s", node)
	}
	return nil
}

// SetBuild makes the supervisor run the previous or the current build when it starts the node the next time.
func (p Processes) SetBuild(node string, usePrevious bool) error {
	marker := filepath.Join(p.Folder, "former-"+node)
	if !usePrevious {
		if err := os.Remove(marker); err != nil && !os.IsNotExist(err) {
			return fault.Storage.Wrap(err, "switching %s to the current build", node)
		}
		return nil
	}
	if err := os.WriteFile(marker, nil, 0o644); err != nil {
		return fault.Storage.Wrap(err, "switching %s to the previous build", node)
	}
	return nil
}

// Signal sends a signal to the process of a node. It fails with fault.NotFound if the process isn't running.
func (p Processes) Signal(node string, signal syscall.Signal) error {
	content, err := os.ReadFile(filepath.Join(p.Folder, node))
	if err != nil {
		return fault.NotFound.Wrap(err, "reading the process id of %s", node)
	}
	id, err := strconv.Atoi(strings.TrimSpace(string(content)))
	if err != nil || id <= 1 {
		return fault.InvalidField("process id", "%q of %s is not a process id", string(content), node)
	}
	if err := syscall.Kill(id, signal); err != nil {
		return fault.NotFound.Wrap(err, "signalling %s", node)
	}
	return nil
}
