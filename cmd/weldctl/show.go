package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/goccy/go-yaml"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/resourceapi"
)

type getCommand struct {
	Kind   string `arg:"" help:"Kind, such as model or machine."`
	Name   string `arg:"" optional:"" help:"Name; all resources of the kind if omitted."`
	Output string `short:"o" enum:"table,yaml,json" default:"table" help:"table, yaml or json."`
}

type watchCommand struct {
	Kind  string `arg:"" optional:"" help:"Kind; all kinds if omitted."`
	After string `help:"Version to start after; the current one if omitted."`
}

type deleteCommand struct {
	Kind    string `arg:"" help:"Kind."`
	Name    string `arg:"" help:"Name."`
	Version string `name:"resource-version" help:"Delete the resource only if it has this version."`
}

type statusCommand struct {
	Output string `short:"o" enum:"table,json" default:"table" help:"table or json."`
}

func (c *getCommand) Run(current *session) error {
	c.Kind = resolveKind(c.Kind)
	var resources []v1.Resource
	var value any
	if c.Name != "" {
		resource, err := current.client.Get(current.ctx, c.Kind, c.Name)
		if err != nil {
			return err
		}
		resources, value = []v1.Resource{*resource}, resource
	} else {
		list, err := current.client.List(current.ctx, c.Kind)
		if err != nil {
			return err
		}
		resources, value = list.Items, list
	}
	switch c.Output {
	case "json":
		return printJSON(value)
	case "yaml":
		return printYAML(value)
	}
	return printTable(resources)
}

func printJSON(value any) error {
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(value); err != nil {
		return fault.Internal.Wrap(err, "encoding the output")
	}
	return nil
}

func printYAML(value any) error {
	encoded, err := json.Marshal(value)
	if err != nil {
		return fault.Internal.Wrap(err, "encoding the output")
	}
	text, err := yaml.JSONToYAML(encoded)
	if err != nil {
		return fault.Internal.Wrap(err, "encoding the output")
	}
	fmt.Print(string(text))
	return nil
}

func printTable(resources []v1.Resource) error {
	table := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "NAME\tVERSION\tGENERATION\tSUMMARY")
	for _, resource := range resources {
		fmt.Fprintf(table, "%s\t%s\t%d\t%s\n", resource.Metadata.Name, resource.Metadata.ResourceVersion,
			resource.Metadata.Generation, summarize(resource))
	}
	if err := table.Flush(); err != nil {
		return fault.Internal.Wrap(err, "writing a table")
	}
	return nil
}

// summarize returns the text for the SUMMARY column.
func summarize(resource v1.Resource) string {
	spec, err := v1.DecodeSpec(resource.Kind, resource.Spec)
	if err != nil {
		return ""
	}
	switch typed := spec.(type) {
	case *v1.ModelSpec:
		return fmt.Sprintf("serves %s, %d to %d replicas", typed.DefaultVersion, typed.MinReplicas, typed.MaxReplicas)
	case *v1.ModelVersionSpec:
		return fmt.Sprintf("%s, %.1f GiB on %d accelerators", typed.Checkpoint, float64(typed.WeightBytes)/(1<<30), typed.Accelerators)
	case *v1.AdapterSpec:
		return "on " + typed.Model
	case *v1.ServiceSpec:
		return fmt.Sprintf("%d models, priority %d", len(typed.Models), typed.Priority)
	case *v1.LimitSpec:
		return fmt.Sprintf("%s: %.1f/s, %d at once", typed.Service, typed.RequestsPerSecond, typed.Concurrent)
	case *v1.TenantSpec:
		return fmt.Sprintf("%d keys, %.1f %s/s, burst %.1f%s", len(typed.KeyHashes), typed.Rate, typed.Unit, typed.Burst, formatRegions(typed.AllowedRegions))
	case *v1.RouteSpec:
		return fmt.Sprintf("%s%s, %d pools%s", typed.Host, typed.PathPrefix, len(typed.Targets), formatRegions(typed.AllowedRegions))
	case *v1.MachineSpec:
		var status v1.MachineStatus
		_ = json.Unmarshal(resource.Status, &status)
		return fmt.Sprintf("%s %s %s", typed.Zone, status.Phase, status.Reason)
	case *v1.ZoneDrainSpec:
		return summarizeDrain(typed, resource.Status)
	case *v1.ReplicaSpec:
		return fmt.Sprintf("%s %s on %s", typed.Version, typed.Phase, typed.Machine)
	}
	return ""
}

// formatRegions returns the suffix of a summary for a restriction to regions.
func formatRegions(allowed []string) string {
	if len(allowed) == 0 {
		return ""
	}
	return ", only in " + strings.Join(allowed, ", ")
}

func (c *watchCommand) Run(current *session) error {
	if c.After == "" {
		list, err := current.client.List(current.ctx, string(v1.KindLimit))
		if err != nil {
			return err
		}
		c.After = list.ResourceVersion
	}
	encoder := json.NewEncoder(os.Stdout)
	return current.client.Watch(current.ctx, c.Kind, c.After, func(event resourceapi.WatchEvent) error {
		if err := encoder.Encode(event); err != nil {
			return fault.Internal.Wrap(err, "writing an event")
		}
		return nil
	})
}

func (c *deleteCommand) Run(current *session) error {
	if err := current.client.Delete(current.ctx, c.Kind, c.Name, c.Version, newIdempotencyKey()); err != nil {
		return err
	}
	fmt.Printf("%s/%s deleted\n", c.Kind, c.Name)
	return nil
}

func (c *statusCommand) Run(current *session) error {
	status, err := current.client.Status(current.ctx)
	if err != nil {
		return err
	}
	if c.Output == "json" {
		return printJSON(status)
	}
	fmt.Printf("leader %s, term %d, version %s, voters %v, learners %v, level %d\n",
		status.Leader, status.Term, status.ResourceVersion, status.Voters, status.Learners, status.Level)
	table := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "NODE\tZONE\tLIVE\tIN FORCE\tREPORT AGE\tLEVEL")
	for _, node := range status.Nodes {
		fmt.Fprintf(table, "%s\t%s\t%t\t%s\t%d ms\t%d\n", node.Name, node.Zone, node.Live, node.ResourceVersion, node.ReportAgeMillis, node.Level)
	}
	if err := table.Flush(); err != nil {
		return fault.Internal.Wrap(err, "writing a table")
	}
	return nil
}
