package settings

import (
	_ "embed"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"reflect"
	"strings"

	"github.com/weldline/weldline/internal/fault"
)

//go:embed settings.go
var source string

// Reference returns a Markdown table of every setting, made from the types
// and their comments in this package.
func Reference() (string, error) {
	file, err := parser.ParseFile(token.NewFileSet(), "settings.go", source, parser.ParseComments)
	if err != nil {
		return "", fault.Internal.Wrap(err, "reading the settings' own source")
	}
	types := map[string]*ast.StructType{}
	ast.Inspect(file, func(node ast.Node) bool {
		if declared, isType := node.(*ast.TypeSpec); isType {
			if fields, isStruct := declared.Type.(*ast.StructType); isStruct {
				types[declared.Name.Name] = fields
			}
		}
		return true
	})
	var out strings.Builder
	out.WriteString("# Settings\n\nMade by `weldline config reference` from the types; don't edit.\n" +
		"Durations are Go duration strings, addresses are IP and port.\n\n| setting | type | meaning |\n|---|---|---|\n")
	writeFields(&out, types, "Settings", "")
	return out.String(), nil
}

func writeFields(out *strings.Builder, types map[string]*ast.StructType, name, prefix string) {
	for _, field := range types[name].Fields.List {
		if field.Tag == nil {
			continue
		}
		tag := reflect.StructTag(strings.Trim(field.Tag.Value, "`")).Get("yaml")
		path := prefix + tag
		typeName, repeated := typeOf(field.Type)
		if types[typeName] != nil {
			if repeated {
				path += "[]"
			}
			writeFields(out, types, typeName, path+".")
			continue
		}
		if repeated {
			typeName = "list of " + typeName
		}
		meaning := strings.Join(strings.Fields(field.Doc.Text()), " ")
		fmt.Fprintf(out, "| `%s` | %s | %s |\n", path, typeName, meaning)
	}
}

func typeOf(expression ast.Expr) (name string, repeated bool) {
	switch typed := expression.(type) {
	case *ast.ArrayType:
		name, _ = typeOf(typed.Elt)
		return name, true
	case *ast.MapType:
		key, _ := typeOf(typed.Key)
		value, _ := typeOf(typed.Value)
		return "map of " + key + " to " + value, false
	case *ast.SelectorExpr:
		return strings.ToLower(typed.Sel.Name), false
	case *ast.Ident:
		if typed.Name == "Role" {
			return "string", false
		}
		return typed.Name, false
	}
	return "", false
}
