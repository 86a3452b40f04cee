package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/weldline/weldline/internal/fault"
)

// TestParse prints ok for valid settings and the field and message of the error for others.
func TestParse(t *testing.T) {
	datadriven.RunTest(t, "testdata/parse", func(t *testing.T, d *datadriven.TestData) string {
		_, err := Parse([]byte(d.Input))
		if err == nil {
			return "ok\n"
		}
		if !fault.Is(err, fault.Invalid) {
			t.Errorf("error is not Invalid: %v", err)
		}
		return fault.FieldOf(err) + ": " + strings.SplitN(fault.Message(err), "\n", 2)[0] + "\n"
	})
}

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

// TestReference checks that the reference contains nested settings and that every setting has a
// description.
func TestReference(t *testing.T) {
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
			t.Errorf("no description: %s", line)
		}
	}
}

// FuzzParse parses arbitrary bytes. It must return settings or a typed error, and not panic.
func FuzzParse(f *testing.F) {
	content, err := os.ReadFile("../../examples/nodes/seatdesk-1.yaml")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(content)
	f.Add([]byte("cluster: [1"))
	f.Fuzz(func(t *testing.T, content []byte) {
		if _, err := Parse(content); err != nil && !fault.Is(err, fault.Invalid) {
			t.Errorf("error is not Invalid: %v", err)
		}
	})
}
