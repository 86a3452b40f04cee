package capacity

import (
	"context"
	"net/http"
	"sync"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	"github.com/weldline/weldline/internal/fault"
)

// sample is what one process's metrics said at one moment.
type sample struct {
	cpuSeconds    float64
	residentBytes float64
	// bytes and messages are by direction, then by kind.
	bytes    map[string]map[string]float64
	messages map[string]map[string]float64
}

// scrape reads the metrics of every process that has any, all at once.
func scrape(ctx context.Context, fleet *Fleet) (map[string]sample, error) {
	samples := map[string]sample{}
	var mutex sync.Mutex
	var group sync.WaitGroup
	var failure error
	for _, process := range fleet.Processes {
		if process.Admin == "" {
			continue
		}
		group.Go(func() {
			read, err := scrapeOne(ctx, process.Admin)
			mutex.Lock()
			defer mutex.Unlock()
			if err != nil {
				failure = err
				return
			}
			samples[process.Name] = read
		})
	}
	group.Wait()
	return samples, failure
}

func scrapeOne(ctx context.Context, admin string) (sample, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, admin+"/metrics", nil)
	if err != nil {
		return sample{}, fault.Invalid.Wrap(err, "admin address")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return sample{}, fault.Unavailable.Wrap(err, "reading metrics")
	}
	defer func() { _ = response.Body.Close() }()
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(response.Body)
	if err != nil {
		return sample{}, fault.Protocol.Wrap(err, "reading metrics")
	}
	return sample{
		cpuSeconds:    single(families["process_cpu_seconds_total"]),
		residentBytes: single(families["process_resident_memory_bytes"]),
		bytes:         byKind(families["weldline_wire_bytes_total"]),
		messages:      byKind(families["weldline_wire_messages_total"]),
	}, nil
}

func single(family *dto.MetricFamily) float64 {
	if len(family.GetMetric()) == 0 {
		return 0
	}
	metric := family.GetMetric()[0]
	return metric.GetCounter().GetValue() + metric.GetGauge().GetValue()
}

func byKind(family *dto.MetricFamily) map[string]map[string]float64 {
	values := map[string]map[string]float64{"sent": {}, "received": {}}
	for _, metric := range family.GetMetric() {
		kind, direction := "", ""
		for _, label := range metric.GetLabel() {
			switch label.GetName() {
			case "kind":
				kind = label.GetValue()
			case "direction":
				direction = label.GetValue()
			}
		}
		if values[direction] != nil {
			values[direction][kind] = metric.GetCounter().GetValue()
		}
	}
	return values
}
