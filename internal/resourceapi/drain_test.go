package resourceapi_test

import (
	"context"
	"encoding/json"
	"testing"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/operator"
	"github.com/weldline/weldline/internal/resourceapi"
)

// TestZoneDrains checks that a ZoneDrain can be written by PUT, and by no other write.
func TestZoneDrains(t *testing.T) {
	server := serve(t)
	client, err := operator.NewClient([]string{server.URL}, "write", "")
	if err != nil {
		t.Fatal(err)
	}
	ctx := context.Background()
	for _, drained := range []bool{true, true, false, true} {
		if err := client.DrainZone(ctx, "z", drained); err != nil {
			t.Fatal(err)
		}
		resource, err := client.Get(ctx, "zonedrains", "z")
		if err != nil {
			t.Fatal(err)
		}
		var spec v1.ZoneDrainSpec
		if err := json.Unmarshal(resource.Spec, &spec); err != nil || spec.Drained != drained {
			t.Errorf("set drained to %t, but the spec is %s (%v)", drained, resource.Spec, err)
		}
	}
	drain := v1.Resource{APIVersion: v1.APIVersion, Kind: v1.KindZoneDrain, Metadata: v1.Metadata{Name: "z"}, Spec: json.RawMessage(`{"drained":false}`)}
	conditional := drain
	conditional.Metadata.ResourceVersion = "1"
	_, conditionalErr := client.Put(ctx, &conditional, "")
	_, applyErr := client.Apply(ctx, &resourceapi.ApplyRequest{Items: []v1.Resource{drain}}, "key")
	for _, test := range []struct {
		name, field string
		err         error
	}{
		{"unknown zone", "zone", client.DrainZone(ctx, "elsewhere", true)},
		{"delete", "kind", client.Delete(ctx, "zonedrain", "z", "", "key")},
		{"put with a version", "metadata.resourceVersion", conditionalErr},
		{"apply", "items[0].kind", applyErr},
	} {
		if !fault.Is(test.err, fault.Invalid) || fault.FieldOf(test.err) != test.field {
			t.Errorf("%s: %v", test.name, test.err)
		}
	}
}
