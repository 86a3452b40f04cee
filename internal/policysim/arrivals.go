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

// arrival is one request of the traffic.
type arrival struct {
	at      time.Duration
	service int
	model   string
	// answerTokens that the model will produce.
	answerTokens int
}

func modelOf(service ServiceScenario, number int) string {
	return fmt.Sprintf("%s-%02d", service.Name, number+1)
}

// drawArrivals draws the traffic of all days, in order of time. It depends on
// the scenario and the seed alone, so that every policy meets the same.
func drawArrivals(scenario *Scenario, seed uint64) []arrival {
	var drawn []arrival
	for position, service := range scenario.Services {
		source := &arrivalSource{
			service: service, position: position, random: rand.New(rand.NewPCG(seed, uint64(position)+100)),
		}
		source.popularity = zipfWeights(service.Models, service.Zipf)
		for today := range scenario.Days {
			source.drawDay(time.Duration(today) * day)
		}
		drawn = append(drawn, source.drawn...)
	}
	slices.SortStableFunc(drawn, func(left, right arrival) int { return cmp.Compare(left.at, right.at) })
	return drawn
}

type arrivalSource struct {
	service    ServiceScenario
	position   int
	random     *rand.Rand
	popularity []float64
	drawn      []arrival
}

// zipfWeights are cumulative shares of the models' popularity.
func zipfWeights(count int, exponent float64) []float64 {
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

func (s *arrivalSource) pickModel() string {
	share := s.random.Float64()
	position, _ := slices.BinarySearch(s.popularity, share)
	return modelOf(s.service, min(position, len(s.popularity)-1))
}

func (s *arrivalSource) add(at time.Duration, model string) {
	spread := 0.5 + s.random.Float64()
	s.drawn = append(s.drawn, arrival{
		at: at, service: s.position, model: model, answerTokens: max(1, int(float64(s.service.AnswerTokens)*spread)),
	})
}

func (s *arrivalSource) drawDay(midnight time.Duration) {
	for range s.poisson(s.service.SessionsPerDay) {
		s.session(midnight + s.timeOfDay())
	}
	for _, burst := range s.service.Bursts {
		s.burst(midnight, burst)
	}
	if s.service.Batch != nil {
		s.batch(midnight, *s.service.Batch)
	}
}

func (s *arrivalSource) poisson(mean float64) int {
	// The normal approximation serves for the means that scenarios have.
	return max(0, int(math.Round(mean+math.Sqrt(mean)*s.random.NormFloat64())))
}

// timeOfDay draws from the peaks and the even base.
func (s *arrivalSource) timeOfDay() time.Duration {
	share := s.random.Float64() * (s.service.Base + peakShares(s.service.Peaks))
	for _, peak := range s.service.Peaks {
		if share < peak.Share {
			at := float64(peak.At) + s.random.NormFloat64()*float64(peak.Width)
			return time.Duration(math.Mod(at+2*float64(day), float64(day)))
		}
		share -= peak.Share
	}
	return time.Duration(s.random.Int64N(int64(day)))
}

func peakShares(peaks []Peak) float64 {
	total := 0.0
	for _, peak := range peaks {
		total += peak.Share
	}
	return total
}

func (s *arrivalSource) session(at time.Duration) {
	model := s.pickModel()
	for {
		s.add(at, model)
		if s.random.Float64() < 1/s.service.RequestsPerSession {
			return
		}
		at += time.Duration(s.random.ExpFloat64() * float64(s.service.PauseInSession))
	}
}

func (s *arrivalSource) burst(midnight time.Duration, burst Burst) {
	begin := midnight + burst.At + time.Duration((2*s.random.Float64()-1)*float64(burst.Jitter))
	for range burst.Requests {
		at := begin + time.Duration(s.random.Float64()*float64(burst.Over))
		s.add(at, modelOf(s.service, s.random.IntN(min(burst.Models, s.service.Models))))
	}
}

func (s *arrivalSource) batch(midnight time.Duration, batch Batch) {
	for number := range batch.Requests {
		at := midnight + batch.At + time.Duration(number)*batch.Every
		s.add(at, modelOf(s.service, number*batch.Models/batch.Requests%s.service.Models))
	}
}
