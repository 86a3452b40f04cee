package manifest

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/weldline/weldline/internal/fault"
)

// TestParse checks the resources of valid files, and that errors name the file,
// the line and the field.
func TestParse(t *testing.T) {
	datadriven.RunTest(t, "testdata/parse", func(t *testing.T, d *datadriven.TestData) string {
		resources, lines, err := Parse("file.yaml", []byte(d.Input))
		if err != nil {
			if !fault.Is(err, fault.Invalid) {
				t.Errorf("not an Invalid error: %v", err)
			}
			return fault.FieldOf(err) + ": " + strings.SplitN(fault.Message(err), "\n", 2)[0] + "\n"
		}
		var out strings.Builder
		for position, resource := range resources {
			fmt.Fprintf(&out, "line %d: %s/%s\n", lines[position], resource.Kind, resource.Metadata.Name)
		}
		return out.String()
	})
}

// TestExamples checks that the example deployments are valid.
func TestExamples(t *testing.T) {
	for folder, minResources := range map[string]int{"../../examples/ramlochun": 60 + 95, "../../examples/seatdesk": 40 + 95} {
		resources, err := Load(folder)
		if err != nil || len(resources) < minResources {
			t.Errorf("%s: %d resources, %v", folder, len(resources), err)
		}
	}
}
