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
