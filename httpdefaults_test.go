package umberbank_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"
)

// requiredFields are the fields that each literal of a type of net/http has to set. Without them net/http answers for the program.
var requiredFields = map[string]string{
	"Server": "DisableGeneralOptionsHandler", // otherwise "OPTIONS *" gets status 200
	"Client": "CheckRedirect",                // otherwise a request is sent again, to an address that a response names
}

// sharedDefaults are identifiers of net/http that use a server or a client without these fields.
var sharedDefaults = map[string]bool{"DefaultClient": true, "Get": true, "Head": true, "Post": true, "PostForm": true,
	"ListenAndServe": true, "Serve": true}

// Guards against a server or a client that leaves an answer to net/http, as "OPTIONS *" and redirects were.
func TestNoAnswerIsLeftToTheLibrary(t *testing.T) {
	t.Parallel()
	files := token.NewFileSet()
	err := filepath.WalkDir(".", func(path string, entry fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case entry.IsDir() && path == "review":
			return filepath.SkipDir
		case entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go"):
			return nil
		}
		file, err := parser.ParseFile(files, path, nil, 0)
		if err != nil {
			return err
		}
		ast.Inspect(file, func(node ast.Node) bool {
			if fault := defaultUse(node); fault != "" {
				t.Errorf("%s: %s", files.Position(node.Pos()), fault)
			}
			return true
		})
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}

// defaultUse describes what a node leaves to a default of net/http. It returns an empty string if the node leaves nothing.
func defaultUse(node ast.Node) string {
	switch node := node.(type) {
	case *ast.CompositeLit:
		name := httpName(node.Type)
		if field, required := requiredFields[name]; required && !setsField(node, field) {
			return "http." + name + " without " + field
		}
	case *ast.SelectorExpr:
		if name := httpName(node); sharedDefaults[name] {
			return "http." + name
		}
	}
	return ""
}

// httpName returns the identifier of a selector of net/http, or an empty string for another expression.
func httpName(expr ast.Expr) string {
	selector, ok := expr.(*ast.SelectorExpr)
	if !ok {
		return ""
	}
	if pkg, ok := selector.X.(*ast.Ident); !ok || pkg.Name != "http" {
		return ""
	}
	return selector.Sel.Name
}

// setsField reports whether a literal sets a field by its name.
func setsField(literal *ast.CompositeLit, field string) bool {
	for _, element := range literal.Elts {
		pair, ok := element.(*ast.KeyValueExpr)
		if !ok {
			continue
		}
		if key, ok := pair.Key.(*ast.Ident); ok && key.Name == field {
			return true
		}
	}
	return false
}
