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

// levels are the methods that write a line; requestLog is the ingress's own,
// which puts a prefix before the event.
var levels = map[string]string{"Debug": "", "Info": "", "Warn": "", "Error": "", "log": "request_"}

// TestEventsAreInTheOperatorsPage: every event that the code logs stands in the
// table of docs/OPERATIONS.md, and nothing else does.
func TestEventsAreInTheOperatorsPage(t *testing.T) {
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
	page, err := os.ReadFile(filepath.Join(root, "docs", "OPERATIONS.md"))
	if err != nil {
		t.Fatal(err)
	}
	_, table, found := strings.Cut(string(page), "## Events")
	if !found {
		t.Fatal("the page has no table of events")
	}
	listed := map[string]bool{}
	for line := range strings.SplitSeq(table, "\n") {
		if cells := strings.Split(line, "|"); len(cells) > 2 {
			for _, name := range regexp.MustCompile("`([A-Za-z_]+)`").FindAllStringSubmatch(cells[1], -1) {
				listed[name[1]] = true
			}
		}
	}
	for _, event := range sorted(logged) {
		if strings.HasSuffix(event, "_") {
			if !hasPrefix(listed, event) {
				t.Errorf("no event that begins with %s is in the table", event)
			}
		} else if !listed[event] {
			t.Errorf("event %s is not in the table", event)
		}
	}
	for _, event := range sorted(listed) {
		if !logged[event] && !prefixed(logged, event) {
			t.Errorf("event %s is in the table, but nothing logs it", event)
		}
	}
}

// addEvents adds the events of a source file. Of an event that is put together,
// the constant beginning counts.
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
		prefix, isLog := levels[method.Sel.Name]
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

func hasPrefix(names map[string]bool, prefix string) bool {
	for name := range names {
		if strings.HasPrefix(name, prefix) {
			return true
		}
	}
	return false
}

func prefixed(prefixes map[string]bool, name string) bool {
	for prefix := range prefixes {
		if strings.HasSuffix(prefix, "_") && strings.HasPrefix(name, prefix) {
			return true
		}
	}
	return false
}

func sorted(names map[string]bool) []string {
	list := make([]string, 0, len(names))
	for name := range names {
		list = append(list, name)
	}
	sort.Strings(list)
	return list
}
