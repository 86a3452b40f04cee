package emulator_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/weldline/weldline/internal/emulator"
	"github.com/weldline/weldline/internal/fault"
)

func statusOf(t *testing.T, method, url string) int {
	t.Helper()
	request, err := http.NewRequest(method, url, strings.NewReader("{}"))
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// TestGreyWorkers requires that exactly the configured number of workers fail their requests, while
// their reports stay healthy.
func TestGreyWorkers(t *testing.T) {
	config, err := emulator.ParseConfig([]byte(`
machines: {count: 3}
backends: [{name: ledger, workers: 4}]
grey: {share: 0.5, errors: 1}
`))
	if err != nil {
		t.Fatal(err)
	}
	environment, err := emulator.Start(config)
	if err != nil {
		t.Fatal(err)
	}
	defer environment.Close()
	failing := 0
	for _, endpoint := range environment.Addresses().Backends["ledger"] {
		if statusOf(t, http.MethodPost, endpoint+"/hold") == http.StatusInternalServerError {
			failing++
		}
	}
	if failing != 2 {
		t.Errorf("%d of 4 backends fail, want 2", failing)
	}
	failing = 0
	for name, endpoint := range environment.Addresses().Engines {
		if statusOf(t, http.MethodPost, endpoint+"/v1/completions") == http.StatusInternalServerError {
			failing++
		}
		if status := statusOf(t, http.MethodGet, endpoint+"/v1/report"); status != http.StatusOK {
			t.Errorf("report of %s: status %d, want 200", name, status)
		}
	}
	if failing != 2 {
		t.Errorf("%d of 3 engines fail, want 2", failing)
	}
}

func TestGreyConfigValidation(t *testing.T) {
	for _, test := range []struct{ configuration, field string }{
		{"grey: {share: 1.5}", "grey.share"},
		{"grey: {share: -0.1}", "grey.share"},
		{"grey: {errors: 2}", "grey.errors"},
		{"grey: {share: 1, errors: 1}", ""},
	} {
		_, err := emulator.ParseConfig([]byte(test.configuration))
		if fault.FieldOf(err) != test.field || (err != nil) != (test.field != "") {
			t.Errorf("%s: got error %v", test.configuration, err)
		}
	}
}
