package faultsim

import "time"

// Shape is the size of the simulated cluster. The zero value is a small one, in which faults interact often.
type Shape struct {
	Routers  int `yaml:"routers" json:"routers,omitempty"`
	Machines int `yaml:"machines" json:"machines,omitempty"`
	Models   int `yaml:"models" json:"models,omitempty"`
	// RequestInterval is the mean time between two inference requests at any router.
	RequestInterval time.Duration `yaml:"request_interval" json:"request_interval,omitempty"`
}

var defaultShape = Shape{Routers: 4, Machines: 5, Models: 5, RequestInterval: 60 * time.Millisecond}

func (s Shape) orDefault() Shape {
	if s == (Shape{}) {
		return defaultShape
	}
	return s
}

// validate returns the first invalid field of a shape and what is wrong with it, or empty strings.
func (s Shape) validate() (field, problem string) {
	switch {
	case s == (Shape{}):
		return "", ""
	case s.Routers < 1:
		return "routers", "must be positive"
	case s.Machines < 1:
		return "machines", "must be positive"
	case s.Models < 1:
		return "models", "must be positive"
	case s.RequestInterval <= 0:
		return "request_interval", "must be positive"
	}
	return "", ""
}
