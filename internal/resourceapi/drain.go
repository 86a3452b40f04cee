package resourceapi

import (
	"net/http"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/state"
	"github.com/weldline/weldline/internal/wire/wirepb"
)

// checkGenericKind refuses the kinds that are not written like others. A zone's object orders
// what is said of the zone by its revision, so it is never deleted, and is written by orders only.
func checkGenericKind(kind v1.Kind) error {
	switch kind {
	case v1.KindReplica:
		return fault.InvalidField("kind", "Replica is written by weldline only")
	case v1.KindZoneDrain:
		return fault.InvalidField("kind", "ZoneDrain is written by PUT alone, and never deleted")
	}
	return nil
}

// putZoneDrain gives an order about a zone. It overtakes whatever was ordered before, so it
// takes no version.
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
	var held *wirepb.Object
	a.store.Read(func(machine *state.Machine) { held = machine.Get(v1.KindZoneDrain, zone) })
	if held == nil {
		return respond(writer, resource) // This node has not applied yet what was committed.
	}
	return respond(writer, resourceOf(held))
}
