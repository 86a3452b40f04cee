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

// TestZoneDrains: a drain is ordered by PUT; no other write touches it.
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
			t.Errorf("ordered %t, and the zone is %s (%v)", drained, resource.Spec, err)
		}
	}
	drain := v1.Resource{APIVersion: v1.APIVersion, Kind: v1.KindZoneDrain, Metadata: v1.Metadata{Name: "z"}, Spec: json.RawMessage(`{"drained":false}`)}
	conditional := drain
	conditional.Metadata.ResourceVersion = "1"
	_, versioned := client.Put(ctx, &conditional, "")
	_, applied := client.Apply(ctx, &resourceapi.ApplyRequest{Items: []v1.Resource{drain}}, "key")
	for _, refusal := range []struct {
		what, field string
		err         error
	}{
		{"an unknown zone", "zone", client.DrainZone(ctx, "elsewhere", true)},
		{"a deletion", "kind", client.Delete(ctx, "zonedrain", "z", "", "key")},
		{"a version", "metadata.resourceVersion", versioned},
		{"a write among others", "items[0].kind", applied},
	} {
		if !fault.Is(refusal.err, fault.Invalid) || fault.FieldOf(refusal.err) != refusal.field {
			t.Errorf("%s: %v", refusal.what, refusal.err)
		}
	}
}
