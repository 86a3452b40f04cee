package policysim

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const day = 24 * time.Hour

type arrival struct {
	at           time.Duration
	service      int
	model        string
	answerTokens int
}

func modelName(service ServiceScenario, number int) string {
	return fmt.Sprintf("%s-%02d", service.Name, number+1)
}

// generateArrivals returns the arrivals of all days, ordered by time. They depend on the scenario and
// the seed alone, so that all policies get the same traffic.
func generateArrivals(scenario *Scenario, seed uint64) []arrival {
	var arrivals []arrival
	for position, service := range scenario.Services {
		source := &trafficSource{
			service: service, serviceIndex: position, random: rand.New(rand.NewPCG(seed, uint64(position)+100)),
		}
		source.cumulativePopularity = cumulativeZipf(service.Models, service.Zipf)
		for dayIndex := range scenario.Days {
			source.generateDay(time.Duration(dayIndex) * day)
		}
		arrivals = append(arrivals, source.arrivals...)
	}
	slices.SortStableFunc(arrivals, func(left, right arrival) int { return cmp.Compare(left.at, right.at) })
	return arrivals
}

type trafficSource struct {
	service              ServiceScenario
	serviceIndex         int
	random               *rand.Rand
	cumulativePopularity []float64
	arrivals             []arrival
}

// cumulativeZipf returns the cumulative distribution of a Zipf law.
func cumulativeZipf(count int, exponent float64) []float64 {
	weights := make([]float64, count)
	total := 0.0
	for position := range weights {
		total += 1 / math.Pow(float64(position+1), exponent)
		weights[position] = total
	}
	for position := range weights {
		weights[position] /= total
	}
	return weights
}

func (s *trafficSource) pickModel() string {
	share := s.random.Float64()
	position, _ := slices.BinarySearch(s.cumulativePopularity, share)
	return modelName(s.service, min(position, len(s.cumulativePopularity)-1))
}

func (s *trafficSource) add(at time.Duration, model string) {
	spread := 0.5 + s.random.Float64()
	s.arrivals = append(s.arrivals, arrival{
		at: at, service: s.serviceIndex, model: model, answerTokens: max(1, int(float64(s.service.AnswerTokens)*spread)),
	})
}

func (s *trafficSource) generateDay(midnight time.Duration) {
	for range s.poisson(s.service.SessionsPerDay) {
		s.addSession(midnight + s.randomTimeOfDay())
	}
	for _, burst := range s.service.Bursts {
		s.addBurst(midnight, burst)
	}
	if s.service.Batch != nil {
		s.addBatch(midnight, *s.service.Batch)
	}
}

func (s *trafficSource) poisson(mean float64) int {
	// Uses the normal approximation, which requires a large mean.
	return max(0, int(math.Round(mean+math.Sqrt(mean)*s.random.NormFloat64())))
}

// randomTimeOfDay draws from a mixture of the peaks and a uniform base.
func (s *trafficSource) randomTimeOfDay() time.Duration {
	share := s.random.Float64() * (s.service.Base + totalPeakShare(s.service.Peaks))
	for _, peak := range s.service.Peaks {
		if share < peak.Share {
			at := float64(peak.At) + s.random.NormFloat64()*float64(peak.Width)
			return time.Duration(math.Mod(at+2*float64(day), float64(day)))
		}
		share -= peak.Share
	}
	return time.Duration(s.random.Int64N(int64(day)))
}

func totalPeakShare(peaks []Peak) float64 {
	total := 0.0
	for _, peak := range peaks {
		total += peak.Share
	}
	return total
}

func (s *trafficSource) addSession(at time.Duration) {
	model := s.pickModel()
	for {
		s.add(at, model)
		if s.random.Float64() < 1/s.service.RequestsPerSession {
			return
		}
		at += time.Duration(s.random.ExpFloat64() * float64(s.service.PauseInSession))
	}
}

func (s *trafficSource) addBurst(midnight time.Duration, burst Burst) {
	begin := midnight + burst.At + time.Duration((2*s.random.Float64()-1)*float64(burst.Jitter))
	for range burst.Requests {
		at := begin + time.Duration(s.random.Float64()*float64(burst.Over))
		s.add(at, modelName(s.service, s.random.IntN(min(burst.Models, s.service.Models))))
	}
}

func (s *trafficSource) addBatch(midnight time.Duration, batch Batch) {
	for number := range batch.Requests {
		at := midnight + batch.At + time.Duration(number)*batch.Every
		s.add(at, modelName(s.service, number*batch.Models/batch.Requests%s.service.Models))
	}
}
