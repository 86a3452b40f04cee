package logging

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"sort"
	"strconv"
	"strings"
	"testing"
)

// eventPrefixes maps the methods that log an event to the prefix that they add to
// its name. "log" is a method of the ingress's request log.
var eventPrefixes = map[string]string{"Debug": "", "Info": "", "Warn": "", "Error": "", "log": "request_"}

// TestEventsAreDocumented checks that the table of events in docs/OPERATIONS.md
// lists exactly the events that the code logs.
func TestEventsAreDocumented(t *testing.T) {
	root := filepath.Join("..", "..")
	logged := map[string]bool{}
	for _, folder := range []string{"internal", "platform"} {
		err := filepath.WalkDir(filepath.Join(root, folder), func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			return addEvents(path, logged)
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	document, err := os.ReadFile(filepath.Join(root, "docs", "OPERATIONS.md"))
	if err != nil {
		t.Fatal(err)
	}
	_, table, found := strings.Cut(string(document), "## Events")
	if !found {
		t.Fatal("docs/OPERATIONS.md has no table of events")
	}
	documented := map[string]bool{}
	for line := range strings.SplitSeq(table, "\n") {
		if cells := strings.Split(line, "|"); len(cells) > 2 {
			for _, name := range regexp.MustCompile("`([A-Za-z_]+)`").FindAllStringSubmatch(cells[1], -1) {
				documented[name[1]] = true
			}
		}
	}
	for _, event := range sortedNames(logged) {
		if strings.HasSuffix(event, "_") {
			if !anyHasPrefix(documented, event) {
				t.Errorf("no event with prefix %s is in the table", event)
			}
		} else if !documented[event] {
			t.Errorf("event %s is not in the table", event)
		}
	}
	for _, event := range sortedNames(documented) {
		if !logged[event] && !hasAnyPrefix(logged, event) {
			t.Errorf("event %s is in the table, but the code doesn't log it", event)
		}
	}
}

// addEvents adds the events that a source file logs. For a concatenated name, it
// adds the constant prefix.
func addEvents(path string, logged map[string]bool) error {
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
	if err != nil {
		return err
	}
	ast.Inspect(file, func(node ast.Node) bool {
		call, isCall := node.(*ast.CallExpr)
		if !isCall || len(call.Args) == 0 {
			return true
		}
		method, isMethod := call.Fun.(*ast.SelectorExpr)
		if !isMethod {
			return true
		}
		prefix, isLog := eventPrefixes[method.Sel.Name]
		if !isLog {
			return true
		}
		argument := call.Args[0]
		if sum, isSum := argument.(*ast.BinaryExpr); isSum {
			argument = sum.X
		}
		if literal, isLiteral := argument.(*ast.BasicLit); isLiteral && literal.Kind == token.STRING {
			if event, err := strconv.Unquote(literal.Value); err == nil && event != "" {
				logged[prefix+event] = true
			}
		}
		return true
	})
	return nil
}

func anyHasPrefix(names map[string]bool, prefix string) bool {
	for name := range names {
		if strings.HasPrefix(name, prefix) {
			return true
		}
	}
	return false
}

func hasAnyPrefix(prefixes map[string]bool, name string) bool {
	for prefix := range prefixes {
		if strings.HasSuffix(prefix, "_") && strings.HasPrefix(name, prefix) {
			return true
		}
	}
	return false
}

func sortedNames(names map[string]bool) []string {
	list := make([]string, 0, len(names))
	for name := range names {
		list = append(list, name)
	}
	sort.Strings(list)
	return list
}
