package main

import (
	"os"

	"github.com/weldline/weldline/internal/explain"
	"github.com/weldline/weldline/internal/fault"
)

// explainCommand prints the timeline of a request.
type explainCommand struct {
	Request string   `arg:"" help:"The request's id."`
	Files   []string `arg:"" type:"existingfile" help:"Logs of any nodes."`
}

// Run implements the command.
func (c *explainCommand) Run(*session) error {
	var lines []explain.Line
	for _, name := range c.Files {
		file, err := os.Open(name)
		if err != nil {
			return fault.InvalidField("files", "%s", err.Error())
		}
		parsed, err := explain.Read(file)
		_ = file.Close()
		if err != nil {
			return err
		}
		lines = append(lines, parsed...)
	}
	timeline, err := explain.BuildTimeline(c.Request, lines)
	if err != nil {
		return err
	}
	return timeline.Write(os.Stdout)
}
