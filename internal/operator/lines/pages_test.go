package lines_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// logging are the folders whose lines docs/OPERATIONS.md lists.
var logging = []string{
	"internal/serving/forward", "internal/serving/scheduler", "internal/serving/backend", "internal/batch/ownership", "internal/fleet/entry", "internal/fleet/diskhost",
	"internal/fleet/notice", "internal/record/follow", "internal/operator/lines", "platform", "internal/operator/command/platform.go",
}

// linesOf returns the fields of each line that a file writes, by its message;
// lines of one message that differ have the fields of all.
func linesOf(path string, found map[string][]string) {
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
	Expect(err).NotTo(HaveOccurred())
	ast.Inspect(file, func(n ast.Node) bool {
		call, ok := n.(*ast.CallExpr)
		if !ok {
			return true
		}
		method, ok := call.Fun.(*ast.SelectorExpr)
		if !ok || method.Sel.Name != "Info" && method.Sel.Name != "Error" {
			return true
		}
		if of, ok := method.X.(*ast.Ident); ok && of.Name == "http" {
			return true
		}
		args := call.Args
		var fields []string
		if method.Sel.Name == "Error" && len(args) > 0 {
			args, fields = args[1:], []string{"error"}
		}
		if len(args) == 0 {
			return true
		}
		message, ok := text(args[0])
		if !ok {
			return true
		}
		for at := 1; at < len(args); at += 2 {
			field, ok := text(args[at])
			Expect(ok).To(BeTrue(), "%s: a field of %q is no constant", path, message)
			fields = append(fields, field)
		}
		found[message] = append(found[message], fields...)
		return true
	})
}

func text(e ast.Expr) (string, bool) {
	literal, ok := e.(*ast.BasicLit)
	if !ok || literal.Kind != token.STRING {
		return "", false
	}
	s, err := strconv.Unquote(literal.Value)
	return s, err == nil
}

var row = regexp.MustCompile("(?m)^\\| `([^`]+)` \\| ((?:`[a-z_]+`,? ?)*)\\|")

var _ = Describe("docs/OPERATIONS.md", func() {
	It("lists every line of the platform's programs with its fields, and no other", func() {
		written := map[string][]string{}
		for _, area := range logging {
			Expect(filepath.WalkDir("../../../"+area, func(path string, entry fs.DirEntry, err error) error {
				if err == nil && !entry.IsDir() && strings.HasSuffix(path, ".go") && !strings.HasSuffix(path, "_test.go") {
					linesOf(path, written)
				}
				return err
			})).To(Succeed())
		}
		page, err := os.ReadFile("../../../docs/OPERATIONS.md")
		Expect(err).NotTo(HaveOccurred())
		listed := map[string][]string{}
		for _, found := range row.FindAllStringSubmatch(string(page), -1) {
			listed[found[1]] = regexp.MustCompile("[a-z_]+").FindAllString(found[2], -1)
		}
		for _, fields := range []map[string][]string{written, listed} {
			for message, names := range fields {
				slices.Sort(names)
				fields[message] = slices.Compact(names)
			}
		}
		Expect(listed).To(Equal(written))
	})
})
