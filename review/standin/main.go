// Command standin runs the cases of the review: it starts the project's nodes as processes on loopback addresses and
// plays clients, workers, the operator and the platform.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() {
	os.Exit(run())
}

func run() int {
	cases := map[string]func(*bench) bool{"disk-loss": diskLoss, "slow-reader": slowReader, "worker-crash": workerCrash}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER, in the repository's root")
		return exitNotRun
	}
	created, err := newBench(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer created.close()
	return created.play(cases[os.Args[1]])
}

// notRun ends a case that could not be played.
type notRun struct{ reason string }

// play runs a case and returns the exit code. The case returns whether the rule was broken.
func (b *bench) play(body func(*bench) bool) (code int) {
	defer func() {
		if recovered := recover(); recovered != nil {
			reason, expected := recovered.(notRun)
			if !expected {
				panic(recovered)
			}
			b.record("the case could not run: %s", reason.reason)
			code = exitNotRun
		}
	}()
	if body(b) {
		b.record("result: the rule was broken")
		return exitBroken
	}
	b.record("result: the rule held")
	return exitHeld
}

// need ends the case as not run if a condition does not hold.
func need(condition bool, format string, arguments ...any) {
	if !condition {
		panic(notRun{fmt.Sprintf(format, arguments...)})
	}
}
