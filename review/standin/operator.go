package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	host          = "replay.example"
	streamPath    = "/stream/"
	unsafePath    = "/card/"
	tablePath     = "/standings/"
	serviceName   = "replay-api"
	poolName      = "llm-pool"
	routeTimeout  = 10 * time.Second
	recoveryTime  = 12 * time.Second
	callTimeout   = time.Second
	firstVersion  = 7
	secondVersion = 11
)

// configuration returns a document in the form of the users' pages.
func configuration(version int) string {
	route := func(name, prefix, kind string) map[string]any {
		attempts := 1
		if kind == "safe" {
			attempts = 2
		}
		return map[string]any{
			"name": name, "host": host, "path_prefix": prefix, "kind": kind, "timeout_ms": routeTimeout.Milliseconds(),
			"target_latency_ms": 4000, "priority": 1, "service": serviceName, "max_attempts": attempts, "sticky": false, "resumable": false,
			"gap_aim_ms": 400,
		}
	}
	routes := []any{route("r-stream", streamPath, "streaming"), route("r-card", unsafePath, "unsafe")}
	if version >= secondVersion {
		routes = append(routes, route("r-standings", tablePath, "safe"))
	}
	document := map[string]any{
		"version":  version,
		"routes":   routes,
		"services": []any{service(serviceName), service(poolName)},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
	encoded, _ := json.Marshal(document)
	return string(encoded)
}

func service(name string) map[string]any {
	return map[string]any{"name": name, "health_path": "/health", "max_conns": 360, "protocol": "h1", "tls": false}
}

var operatorClient = &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}

// call makes one call of the operator; the status is 0 without an answer.
func call(method, address, path, body string) (status int, answer string) {
	request, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	response, err := operatorClient.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, drain(response.Body)
}

// replace sends a configuration to any node until one acknowledges it or the time is over.
func (b *bench) replace(control []*node, version int, limit time.Duration) bool {
	attempts := 0
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		target := control[attempts%len(control)]
		attempts++
		if status, _ := call(http.MethodPost, target.controlAddress(), "/v1/Config.Replace", configuration(version)); status == http.StatusOK {
			b.record("version %d acknowledged by %s, attempt %d", version, target.name, attempts)
			return true
		}
	}
	b.record("version %d not acknowledged in %s, %d attempts", version, limit, attempts)
	return false
}

// read asks all nodes for the configuration until one answers or the time is over. It returns the version, 0 for none.
func (b *bench) read(control []*node, limit time.Duration) int {
	answers := map[string]int{}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, target := range control {
			status, answer := call(http.MethodGet, target.controlAddress(), "/v1/Config.Read", "")
			answers[fmt.Sprintf("%s: %d", target.name, status)]++
			held := struct{ Version int }{}
			if status == http.StatusOK && json.Unmarshal([]byte(answer), &held) == nil {
				b.record("%s answers a read with version %d", target.name, held.Version)
				return held.Version
			}
		}
	}
	b.record("no node answered a read in %s; answers by node and status: %v", limit, answers)
	return 0
}
