package soak

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"

	"github.com/weldline/weldline/internal/fault"
)

// Processes signals the processes of a soak. Whoever starts them writes the id of each into a
// file of its name, and starts one that has ended again. No other process is ever signalled.
type Processes struct {
	// Folder holds the files.
	Folder string
}

// LoseDisk makes a node find an empty data folder when it is started next: whoever starts it moves
// the folder away where it finds this mark.
func (p Processes) LoseDisk(node string) error {
	if err := os.WriteFile(filepath.Join(p.Folder, "lose-"+node), nil, 0o644); err != nil {
		return fault.Storage.Wrap(err, "marking the disk of %s as lost", node)
	}
	return nil
}

// SetBuild makes a node run the former build, or the present one, when it is started next: whoever
// starts it looks for this mark.
func (p Processes) SetBuild(node string, isFormer bool) error {
	mark := filepath.Join(p.Folder, "former-"+node)
	if !isFormer {
		if err := os.Remove(mark); err != nil && !os.IsNotExist(err) {
			return fault.Storage.Wrap(err, "giving %s the present build", node)
		}
		return nil
	}
	if err := os.WriteFile(mark, nil, 0o644); err != nil {
		return fault.Storage.Wrap(err, "giving %s the former build", node)
	}
	return nil
}

// Signal sends a signal to the process of a node, if it runs at present.
func (p Processes) Signal(node string, signal syscall.Signal) error {
	content, err := os.ReadFile(filepath.Join(p.Folder, node))
	if err != nil {
		return fault.NotFound.Wrap(err, "reading the process id of %s", node)
	}
	id, err := strconv.Atoi(strings.TrimSpace(string(content)))
	if err != nil || id <= 1 {
		return fault.InvalidField("process id", "%q of %s is not one", string(content), node)
	}
	if err := syscall.Kill(id, signal); err != nil {
		return fault.NotFound.Wrap(err, "signalling %s", node)
	}
	return nil
}
