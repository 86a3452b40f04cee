package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
)

const (
	// defaultDiskLossDelay is the time between the first loss and the loss of a disk. DELAY_MS sets another one.
	defaultDiskLossDelay = 1950 * time.Millisecond
	diskReturn           = time.Second
	powerReturn          = 5 * time.Second
	// The operator asks again and again, for much longer than contact_ms.
	readTime    = 12 * time.Second
	replaceTime = 8 * time.Second
	readyTime   = 5 * time.Second
)

// diskLoss has one of four core machines lose power and another one its disk. Both come back; the other two run on. With
// LOSS=power the other one keeps its disk and stays away.
func diskLoss(b *bench) bool {
	control, fronts := b.build(4, 1)
	for _, held := range control {
		held.start(true)
	}
	need(b.replace(control, firstVersion, 10*time.Second), "the first configuration was not taken")
	learner := control[3]
	need(eventually(15*time.Second, func() bool {
		lines := learner.logLines(`"membership_in_force"`)
		return len(lines) > 0 && strings.Contains(lines[len(lines)-1], "learners") && b.read([]*node{learner}, callTimeout) == firstVersion
	}), "%s has not joined", learner.name)
	time.Sleep(3 * time.Second)
	need(b.read(control, 5*time.Second) == firstVersion, "the configuration is not served")
	leader := leaderOf(control)
	need(leader != nil && leader != learner, "no leader among the seeds")
	var others []*node
	for _, held := range control[:3] {
		if held != leader {
			others = append(others, held)
		}
	}
	first, wiped := others[0], others[1]
	b.record("leader %s, voters %s", leader.name, strings.Join([]string{control[0].name, control[1].name, control[2].name}, " "))
	if b.trouble {
		lostAt := time.Now()
		first.kill()
		b.record("%s loses power; its disk stays", first.name)
		time.Sleep(time.Until(lostAt.Add(diskLossDelay())))
		wiped.kill()
		if os.Getenv("LOSS") == "power" {
			b.record("%s loses power and stays away; its disk stays", wiped.name)
		} else {
			need(os.RemoveAll(wiped.dataDir()) == nil, "the disk could not be emptied")
			b.record("%s loses its disk", wiped.name)
			time.Sleep(diskReturn)
			wiped.start(false)
		}
		time.Sleep(time.Until(lostAt.Add(powerReturn)))
		first.start(false)
	}
	b.record("the losses have ended; the rule grants %s from here", recoveryTime)
	time.Sleep(recoveryTime)
	version := b.read(control, readTime)
	changed := b.replace(control, secondVersion, replaceTime)
	fronts[0].start(true)
	ready := eventually(readyTime, func() bool {
		status, _ := call(http.MethodGet, fronts[0].readyAddress(), "/v1/readiness", "")
		return status == http.StatusOK
	})
	b.record("a front machine that starts now is ready within %s: %t", readyTime, ready)
	for _, held := range control {
		if lines := held.logLines(`"membership_in_force"`); len(lines) > 0 {
			b.record("%s's last log line on voters: %s", held.name, lines[len(lines)-1])
		}
	}
	b.record("read back: version %d (acknowledged: %d); change taken: %t", version, firstVersion, changed)
	return version < firstVersion
}

func diskLossDelay() time.Duration {
	if milliseconds, err := strconv.Atoi(os.Getenv("DELAY_MS")); err == nil {
		return time.Duration(milliseconds) * time.Millisecond
	}
	return defaultDiskLossDelay
}

// leaderOf returns the node that logged the newest term as leader.
func leaderOf(control []*node) *node {
	var leader *node
	newest := 0
	for _, held := range control {
		for _, line := range held.logLines(`"role":"leader"`) {
			_, rest, _ := strings.Cut(line, `"term":`)
			term := 0
			if _, err := fmt.Sscanf(rest, "%d", &term); err == nil && term > newest {
				newest, leader = term, held
			}
		}
	}
	return leader
}
