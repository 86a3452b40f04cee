// Package manifest reads resources from YAML files with one or more documents.
package manifest

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"sort"
	"strconv"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"

	v1 "github.com/weldline/weldline/api/v1"
	"github.com/weldline/weldline/internal/fault"
)

// Load reads a file, or all .yaml and .yml files in a directory tree. It returns
// an error if a resource is declared twice. Resources are sorted so that each
// comes after those that it may refer to.
func Load(path string) ([]v1.Resource, error) {
	files, err := listFiles(path)
	if err != nil {
		return nil, err
	}
	var resources []v1.Resource
	locations := map[string]string{}
	for _, file := range files {
		content, err := os.ReadFile(file)
		if err != nil {
			return nil, fault.InvalidField("file", "can't read %s: %s", file, err.Error())
		}
		parsed, lines, err := Parse(file, content)
		if err != nil {
			return nil, err
		}
		for position, resource := range parsed {
			key := string(resource.Kind) + " " + resource.Metadata.Name
			location := file + ":" + strconv.Itoa(lines[position])
			if earlier, declared := locations[key]; declared {
				return nil, fault.InvalidField("metadata.name", "%s: %s is already declared at %s", location, key, earlier)
			}
			locations[key] = location
		}
		resources = append(resources, parsed...)
	}
	sortByKind(resources)
	return resources, nil
}

func listFiles(path string) ([]string, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, fault.InvalidField("file", "can't read %s: %s", path, err.Error())
	}
	if !info.IsDir() {
		return []string{path}, nil
	}
	var files []string
	err = filepath.WalkDir(path, func(name string, entry os.DirEntry, walkErr error) error {
		extension := strings.ToLower(filepath.Ext(name))
		if walkErr == nil && !entry.IsDir() && (extension == ".yaml" || extension == ".yml") {
			files = append(files, name)
		}
		return walkErr
	})
	if err != nil {
		return nil, fault.InvalidField("file", "can't list %s: %s", path, err.Error())
	}
	sort.Strings(files)
	return files, nil
}

// Parse reads the documents of one file. It returns the resources and the line at
// which each starts.
func Parse(file string, content []byte) ([]v1.Resource, []int, error) {
	parsed, err := parser.ParseBytes(content, 0)
	if err != nil {
		return nil, nil, fault.InvalidField("file", "%s: %s", file, yaml.FormatError(err, false, false))
	}
	var resources []v1.Resource
	var lines []int
	for _, document := range parsed.Docs {
		if document.Body == nil || document.Body.Type() == ast.NullType || document.Body.Type() == ast.CommentType {
			continue
		}
		line := firstLine(document.Body)
		resource, err := decode(document.Body)
		if err != nil {
			return nil, nil, fault.InvalidField(fault.FieldOf(err), "%s:%d: %s: %s", file, line, fault.FieldOf(err), fault.Message(err))
		}
		resources = append(resources, *resource)
		lines = append(lines, line)
	}
	return resources, lines, nil
}

func firstLine(node ast.Node) int {
	if mapping, isMapping := node.(*ast.MappingNode); isMapping && len(mapping.Values) > 0 {
		return mapping.Values[0].Key.GetToken().Position.Line
	}
	return node.GetToken().Position.Line
}

func decode(node ast.Node) (*v1.Resource, error) {
	var value any
	if err := yaml.NodeToValue(node, &value); err != nil {
		return nil, fault.InvalidField("document", "%s", err.Error())
	}
	encoded, err := json.Marshal(value)
	if err != nil {
		return nil, fault.InvalidField("document", "%s", err.Error())
	}
	resource := &v1.Resource{}
	decoder := json.NewDecoder(bytes.NewReader(encoded))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(resource); err != nil {
		return nil, fault.InvalidField("document", "%s", err.Error())
	}
	if _, err := v1.Normalize(resource); err != nil {
		return nil, err
	}
	return resource, nil
}

// sortByKind sorts resources after those that they may refer to.
func sortByKind(resources []v1.Resource) {
	order := map[v1.Kind]int{}
	for position, kind := range v1.Kinds {
		order[kind] = position
	}
	sort.SliceStable(resources, func(i, j int) bool {
		return order[resources[i].Kind] < order[resources[j].Kind]
	})
}
