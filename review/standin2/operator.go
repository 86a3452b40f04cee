package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// route and service are the entries of a configuration.
type route struct {
	Name        string `json:"name"`
	Host        string `json:"host"`
	PathPrefix  string `json:"path_prefix"`
	Kind        string `json:"kind"`
	TimeoutMs   int    `json:"timeout_ms"`
	TargetMs    int    `json:"target_latency_ms"`
	Priority    int    `json:"priority"`
	Service     string `json:"service"`
	MaxAttempts int    `json:"max_attempts"`
}

type service struct {
	Name       string `json:"name"`
	HealthPath string `json:"health_path"`
	MaxConns   int    `json:"max_conns"`
	Protocol   string `json:"protocol"`
	TLS        bool   `json:"tls"`
}

type configuration struct {
	Version  int            `json:"version"`
	Routes   []route        `json:"routes"`
	Services []service      `json:"services"`
	Limits   map[string]int `json:"limits"`
}

// newConfiguration returns a configuration with the limits of the pages' example.
func newConfiguration(version int, services []service, routes ...route) configuration {
	return configuration{
		Version: version, Routes: routes, Services: services,
		Limits: map[string]int{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

const (
	operatorTimeout = time.Second
	operatorPause   = 200 * time.Millisecond
)

// replace sends a configuration to one node after the other until one acknowledges it.
func (s *stage) replace(ctx context.Context, sent configuration) error {
	body, err := json.Marshal(sent)
	if err != nil {
		return err
	}
	client := &http.Client{Timeout: operatorTimeout}
	for number := 0; ; number++ {
		response, err := client.Post("http://"+s.controlAddress(number)+"/v1/Config.Replace", "application/json", bytes.NewReader(body))
		if err == nil {
			answer, _ := io.ReadAll(response.Body)
			_ = response.Body.Close()
			s.log.write("operator: version %d at control-%d: %d", sent.Version, number%len(s.controls), response.StatusCode)
			switch response.StatusCode {
			case http.StatusOK:
				return nil
			case http.StatusBadRequest:
				return fmt.Errorf("version %d was refused: %s", sent.Version, answer)
			}
		}
		if err := pause(ctx, operatorPause); err != nil {
			return fmt.Errorf("version %d was not acknowledged: %w", sent.Version, err)
		}
	}
}
