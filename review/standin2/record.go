package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes the record of a case: what was sent, answered and run, with the time since the start. It is safe for
// concurrent use.
type recorder struct {
	mutex   sync.Mutex
	file    *os.File
	started time.Time
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: file, started: time.Now()}, nil
}

func (r *recorder) write(format string, arguments ...any) {
	line := fmt.Sprintf("%8.3f ", time.Since(r.started).Seconds()) + fmt.Sprintf(format, arguments...) + "\n"
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_, _ = r.file.WriteString(line)
}

func (r *recorder) close() {
	_ = r.file.Close()
}
