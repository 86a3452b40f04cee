package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/weldline/weldline/internal/fault"
)

// TestParse reads settings files: good ones answer ok, bad ones name the
// field.
func TestParse(t *testing.T) {
	datadriven.RunTest(t, "testdata/parse", func(t *testing.T, d *datadriven.TestData) string {
		_, err := Parse([]byte(d.Input))
		if err == nil {
			return "ok\n"
		}
		if !fault.Is(err, fault.Invalid) {
			t.Errorf("not an invalid input: %v", err)
		}
		return fault.FieldOf(err) + ": " + strings.SplitN(fault.Message(err), "\n", 2)[0] + "\n"
	})
}

// TestExamples reads the settings that are shipped as examples.
func TestExamples(t *testing.T) {
	paths, err := filepath.Glob("../../examples/nodes/*.yaml")
	if err != nil || len(paths) == 0 {
		t.Fatal(paths, err)
	}
	for _, path := range paths {
		if _, err := Load(path); err != nil {
			t.Errorf("%s: %v", path, err)
		}
	}
}

// TestReferenceNamesEverySetting checks the reference against the types.
func TestReferenceNamesEverySetting(t *testing.T) {
	reference, err := Reference()
	if err != nil {
		t.Fatal(err)
	}
	for _, setting := range []string{"`cluster`", "`control.members[].address`", "`tls.public`", "`policy.machineTimeout`"} {
		if !strings.Contains(reference, setting) {
			t.Errorf("%s is missing", setting)
		}
	}
	for _, line := range strings.Split(reference, "\n") {
		if strings.HasSuffix(line, "|  |") && !strings.Contains(line, "writeToken") {
			t.Errorf("nothing is said of %s", line)
		}
	}
}

// FuzzParse feeds any bytes: an answer or a typed error, never a panic.
func FuzzParse(f *testing.F) {
	content, err := os.ReadFile("../../examples/nodes/seatdesk-1.yaml")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(content)
	f.Add([]byte("cluster: [1"))
	f.Fuzz(func(t *testing.T, content []byte) {
		if _, err := Parse(content); err != nil && !fault.Is(err, fault.Invalid) {
			t.Errorf("not an invalid input: %v", err)
		}
	})
}
