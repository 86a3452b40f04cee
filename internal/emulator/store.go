package emulator

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"golang.org/x/time/rate"
)

// transferStep is how finely the store divides its bandwidth.
const transferStep = 10 * time.Millisecond

// Store emulates the weight store: it admits so many loads a second, serves
// so many at once at full speed, and shares that bandwidth beyond.
type Store struct {
	config  StoreConfig
	auditor *auditor

	mutex    sync.Mutex
	admitted *rate.Limiter
	active   int
	slowdown float64
}

func newStore(config StoreConfig, auditor *auditor) *Store {
	burst := max(1, int(config.LoadsPerSecond))
	return &Store{
		config: config, auditor: auditor, slowdown: config.Slowdown,
		admitted: rate.NewLimiter(rate.Limit(config.LoadsPerSecond), burst),
	}
}

// speed is that of each of the present loads, in bytes per second.
func (s *Store) speed() float64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	share := 1.0
	if s.active > s.config.ConcurrentLoads {
		share = float64(s.config.ConcurrentLoads) / float64(s.active)
	}
	return s.config.BytesPerSecond * share / s.slowdown
}

func (s *Store) enter(change int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.active += change
}

// Admit reports whether a load may begin now.
func (s *Store) Admit() bool {
	if s.admitted.Allow() {
		return true
	}
	s.auditor.count(func(audit *Audit) { audit.StoreRejections++ })
	return false
}

// Transfer takes as long as the bytes take; progress gets what is left.
func (s *Store) Transfer(ctx context.Context, bytes int64, progress func(remaining time.Duration)) error {
	s.enter(1)
	defer s.enter(-1)
	left := float64(bytes)
	for left > 0 {
		speed := s.speed()
		if progress != nil {
			progress(time.Duration(left / speed * float64(time.Second)))
		}
		step := min(transferStep, time.Duration(left/speed*float64(time.Second)))
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(step):
		}
		left -= speed * step.Seconds()
		if step < transferStep {
			return nil
		}
	}
	return nil
}

func (s *Store) handler() http.Handler {
	routes := mux.NewRouter()
	routes.HandleFunc("/v1/checkpoints/{name}", s.serve).Methods(http.MethodGet)
	routes.HandleFunc("/emulator/slowdown", s.setSlowdown).Methods(http.MethodPost)
	return routes
}

func (s *Store) serve(writer http.ResponseWriter, request *http.Request) {
	bytes, err := strconv.ParseInt(request.URL.Query().Get("bytes"), 10, 64)
	if err != nil || bytes < 0 {
		http.Error(writer, "bytes must be a number", http.StatusBadRequest)
		return
	}
	if !s.Admit() {
		writer.Header().Set("Retry-After", "1")
		http.Error(writer, "too many loads a second", http.StatusTooManyRequests)
		return
	}
	if s.Transfer(request.Context(), bytes, nil) != nil {
		return
	}
	_ = json.NewEncoder(writer).Encode(map[string]int64{"bytes": bytes})
}

func (s *Store) setSlowdown(writer http.ResponseWriter, request *http.Request) {
	factor, err := strconv.ParseFloat(request.URL.Query().Get("factor"), 64)
	if err != nil || factor <= 0 {
		http.Error(writer, "factor must be above 0", http.StatusBadRequest)
		return
	}
	s.mutex.Lock()
	s.slowdown = factor
	s.mutex.Unlock()
}
