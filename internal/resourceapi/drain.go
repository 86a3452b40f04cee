package resourceapi

import (
	"net/http"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/state"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// checkGenericKind rejects kinds that generic writes can't change. Replicas are written by the
// leader only. A ZoneDrain is never deleted, since its revision orders the drains of its zone.
func checkGenericKind(kind v1.Kind) error {
	switch kind {
	case v1.KindReplica:
		return fault.InvalidField("kind", "Replica is written by weldline only")
	case v1.KindZoneDrain:
		return fault.InvalidField("kind", "ZoneDrain is written by PUT alone, and never deleted")
	}
	return nil
}

// putZoneDrain drains or undrains a zone. The write replaces earlier ones unconditionally, so
// a resourceVersion is rejected.
func (a *API) putZoneDrain(writer http.ResponseWriter, request *http.Request, resource *v1.Resource) error {
	spec, err := v1.Normalize(resource)
	if err != nil {
		return err
	}
	if resource.Metadata.ResourceVersion != "" {
		return fault.InvalidField("metadata.resourceVersion", "is not taken: an order overtakes those before it")
	}
	drain, isDrain := spec.(*v1.ZoneDrainSpec)
	if !isDrain {
		return fault.Internal.New("the spec of a ZoneDrain is none")
	}
	zone := resource.Metadata.Name
	if err := a.store.DrainZone(request.Context(), zone, drain.Drained); err != nil {
		return err
	}
	var stored *wirepb.Object
	a.store.Read(func(machine *state.Machine) { stored = machine.Get(v1.KindZoneDrain, zone) })
	if stored == nil {
		return writeJSON(writer, resource) // This node has not applied the write yet.
	}
	return writeJSON(writer, toResource(stored))
}
