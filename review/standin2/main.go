// Command standin2 plays the cases of the second review: it starts weldnode processes with the settings templates of
// the deploy file on loopback addresses, and takes the parts of the platform, the workers, the clients and the operator.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
	// caseTimeout ends a case that hangs.
	caseTimeout = 110 * time.Second
)

// play is a case on a stage with a number of fronts. run reports whether the rule was broken; an error means that the case could
// not run.
type play struct {
	fronts int
	run    func(ctx context.Context, stage *stage, troubled bool) (broken bool, err error)
}

var plays = map[string]play{
	"body-remainder":    {fronts: 7, run: playBodyRemainder},
	"late-registration": {fronts: 2, run: playLateRegistration},
	"surplus-answer":    {fronts: 2, run: playSurplusAnswer},
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE RECORD")
		return exitNotRun
	}
	chosen, known := plays[os.Args[1]]
	if !known {
		fmt.Fprintln(os.Stderr, "standin2: no such case: "+os.Args[1])
		return exitNotRun
	}
	log, err := newRecorder(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin2: "+err.Error())
		return exitNotRun
	}
	defer log.close()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, caseTimeout)
	defer cancel()
	broken, err := playOnStage(ctx, chosen, log, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		log.write("case not run: %v", err)
		return exitNotRun
	case broken:
		log.write("result: the rule was broken")
		return exitBroken
	}
	log.write("result: the rule held")
	return exitHeld
}

// playOnStage sets the stage up, plays the case, and ends all processes.
func playOnStage(ctx context.Context, chosen play, log *recorder, troubled bool) (broken bool, err error) {
	root, err := findRoot()
	if err != nil {
		return false, err
	}
	created, err := newStage(root, log, chosen.fronts)
	if err != nil {
		return false, err
	}
	defer created.close()
	log.write("disruption: %t", troubled)
	return chosen.run(ctx, created, troubled)
}

// findRoot returns the root of the repository: the closest folder above the working directory with a deploy file.
func findRoot() (string, error) {
	folder, err := os.Getwd()
	if err != nil {
		return "", err
	}
	for {
		if _, err := os.Stat(filepath.Join(folder, "deploy", "system.toml")); err == nil {
			return folder, nil
		}
		parent := filepath.Dir(folder)
		if parent == folder {
			return "", errors.New("no deploy/system.toml above the working directory")
		}
		folder = parent
	}
}
