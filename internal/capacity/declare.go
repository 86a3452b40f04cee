package capacity

import (
	"encoding/json"
	"fmt"

	v1 "github.com/weldline/weldline/api/v1"
)

const (
	gibibyte        = 1 << 30
	modelsInService = 100
)

func modelName(number int) string {
	return fmt.Sprintf("model-%04d", number)
}

func resource(kind v1.Kind, name string, spec any) *v1.Resource {
	encoded, _ := json.Marshal(spec) // Plain structs always encode.
	return &v1.Resource{APIVersion: v1.APIVersion, Kind: kind, Metadata: v1.Metadata{Name: name}, Spec: encoded}
}

// declarations returns the resources of a size, those referred to first.
func declarations(size Size) []v1.Resource {
	var items []v1.Resource
	for number := range size.Models {
		name := modelName(number)
		items = append(items,
			*resource(v1.KindModel, name, v1.ModelSpec{DefaultVersion: name + ".v1", MaxReplicas: 2}),
			*resource(v1.KindModelVersion, name+".v1", v1.ModelVersionSpec{
				Model: name, Checkpoint: name + "-weights", WeightBytes: 4 * gibibyte, CacheBytes: gibibyte,
				AdapterBytes: gibibyte, MaxConcurrent: 16,
			}))
	}
	for number := range size.Adapters {
		items = append(items, *resource(v1.KindAdapter, fmt.Sprintf("adapter-%04d", number), v1.AdapterSpec{
			Model: modelName(number % size.Models), Checkpoint: fmt.Sprintf("adapter-%04d-weights", number),
			WeightBytes: gibibyte / 16,
		}))
	}
	for first := 0; first < size.Models; first += modelsInService {
		var models []string
		for number := first; number < min(first+modelsInService, size.Models); number++ {
			models = append(models, modelName(number))
		}
		items = append(items, *resource(v1.KindService, fmt.Sprintf("service-%02d", first/modelsInService),
			v1.ServiceSpec{Models: models, ColdStartWeight: 1}))
	}
	return items
}
