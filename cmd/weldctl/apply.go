package main

import (
	"bytes"
	"crypto/rand"
	"encoding/hex"
	"fmt"

	"github.com/joomcode/errorx"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/fault"
	"github.com/weldline/weldline/internal/manifest"
	"github.com/weldline/weldline/internal/resourceapi"
)

const (
	labelManagedBy = "weldline/managed-by"
	managedByApply = "weldctl-apply"
)

// errDifferent is the type of the error for differences that diff found.
var errDifferent = errorx.NewNamespace("weldctl").NewType("different")

type applyCommand struct {
	File   string `short:"f" required:"" type:"path" help:"File or directory."`
	DryRun bool   `help:"Validate without writing."`
	Prune  bool   `help:"Delete resources that an earlier apply declared and that are no longer declared."`
}

type diffCommand struct {
	File string `short:"f" required:"" type:"path" help:"File or directory."`
}

func newIdempotencyKey() string {
	var bytes [12]byte
	_, _ = rand.Read(bytes[:])
	return hex.EncodeToString(bytes[:])
}

func loadManaged(path string) ([]v1.Resource, error) {
	resources, err := manifest.Load(path)
	if err != nil {
		return nil, err
	}
	for position := range resources {
		metadata := &resources[position].Metadata
		if metadata.Labels == nil {
			metadata.Labels = map[string]string{}
		}
		metadata.Labels[labelManagedBy] = managedByApply
	}
	return resources, nil
}

func (c *applyCommand) Run(current *session) error {
	resources, err := loadManaged(c.File)
	if err != nil {
		return err
	}
	request := &resourceapi.ApplyRequest{Items: resources, DryRun: c.DryRun}
	if c.Prune {
		if request.Delete, err = current.listPrunable(resources); err != nil {
			return err
		}
	}
	result, err := current.client.Apply(current.ctx, request, newIdempotencyKey())
	if err != nil {
		return err
	}
	for _, changed := range result.Changed {
		fmt.Printf("%s/%s applied\n", changed.Kind, changed.Name)
	}
	for _, deleted := range request.Delete {
		fmt.Printf("%s/%s deleted\n", deleted.Kind, deleted.Name)
	}
	verb := "in force from"
	if c.DryRun {
		verb = "dry run against"
	}
	fmt.Printf("%d declared, %d changed, %d deleted, %s version %s\n",
		len(resources), len(result.Changed), len(request.Delete), verb, result.ResourceVersion)
	return nil
}

// listPrunable lists the resources that an earlier apply created and that are not
// declared any more. Resources come before those that they refer to.
func (s *session) listPrunable(resources []v1.Resource) ([]resourceapi.ResourceName, error) {
	declared := map[string]bool{}
	for _, resource := range resources {
		declared[string(resource.Kind)+"/"+resource.Metadata.Name] = true
	}
	var prunable []resourceapi.ResourceName
	for position := len(v1.Kinds) - 1; position >= 0; position-- {
		kind := v1.Kinds[position]
		if kind == v1.KindReplica {
			continue
		}
		list, err := s.client.List(s.ctx, string(kind))
		if err != nil {
			return nil, err
		}
		for _, item := range list.Items {
			managed := item.Metadata.Labels[labelManagedBy] == managedByApply
			if managed && !declared[string(kind)+"/"+item.Metadata.Name] {
				prunable = append(prunable, resourceapi.ResourceName{
					Kind: kind, Name: item.Metadata.Name, ResourceVersion: item.Metadata.ResourceVersion,
				})
			}
		}
	}
	return prunable, nil
}

func (c *diffCommand) Run(current *session) error {
	resources, err := loadManaged(c.File)
	if err != nil {
		return err
	}
	differences := 0
	for position := range resources {
		resource := &resources[position]
		stored, err := current.client.Get(current.ctx, string(resource.Kind), resource.Metadata.Name)
		switch {
		case fault.Is(err, fault.NotFound):
			fmt.Printf("+ %s/%s\n", resource.Kind, resource.Metadata.Name)
			differences++
		case err != nil:
			return err
		case !bytes.Equal(stored.Spec, resource.Spec):
			fmt.Printf("~ %s/%s\n  - %s\n  + %s\n", resource.Kind, resource.Metadata.Name, stored.Spec, resource.Spec)
			differences++
		}
	}
	if differences > 0 {
		return errDifferent.New("%d of %d resources differ", differences, len(resources))
	}
	fmt.Printf("%d resources are as declared\n", len(resources))
	return nil
}
