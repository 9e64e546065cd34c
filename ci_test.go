package umberbank_test

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// .ci/known-red skips exactly the tests that its file lists, and rejects any line that is not in the documented form.
func TestKnownRed(t *testing.T) {
	t.Parallel()
	const tests = "TestA\nTestAB\nTestB\nTestC\nTestD\nTestTwice\nTestTwice\n"
	line := func(name string) string { return name + " | go test . -seed 3 | what was seen | issue 7\n" }
	for name, c := range map[string]struct{ file, flag, message string }{
		"empty":                   {"", "", ""},
		"one":                     {line("TestA"), "-skip=^(TestA)$", "left out: TestA | go test . -seed 3 | what was seen | issue 7"},
		"three, no final newline": {line("TestA") + line("TestB") + strings.TrimSpace(line("TestC")), "-skip=^(TestA|TestB|TestC)$", "TestC"},
		"four":                    {line("TestA") + line("TestB") + line("TestC") + line("TestD"), "", "line 4: a fourth"},
		"unknown":                 {line("TestNone"), "", "line 1: there is no test TestNone"},
		"part of a name":          {line("TestT"), "", "line 1: there is no test TestT"},
		"in two packages":         {line("TestTwice"), "", "line 1: more than one test"},
		"same test twice":         {line("TestA") + line("TestA"), "", "line 2: TestA comes twice"},
		"no command":              {"TestA |  | what was seen | issue 7\n", "", "line 1: not of the form"},
		"nothing seen":            {"TestA | go test . | | issue 7\n", "", "line 1: not of the form"},
		"blank observation":       {"TestA | go test . |   | issue 7\n", "", "line 1: not of the form"},
		"no issue":                {"TestA | go test . | what was seen\n", "", "line 1: not of the form"},
		"too many fields":         {"TestA | go test . | what was seen | more | issue 7\n", "", "line 1: not of the form"},
		"earlier form":            {"TestA | the cause | issue 7\n", "", "line 1: not of the form"},
		"a pattern":               {"Test.* | go test . | what was seen | issue 7\n", "", "line 1: not of the form"},
		"an empty line":           {line("TestA") + "\n", "", "line 2: not of the form"},
	} {
		dir := t.TempDir()
		file, list := filepath.Join(dir, "KNOWN-RED.txt"), filepath.Join(dir, "tests")
		for path, text := range map[string]string{file: c.file, list: tests} {
			if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
		}
		var out, errs bytes.Buffer
		cmd := exec.Command(".ci/known-red", file, list)
		cmd.Stdout, cmd.Stderr = &out, &errs
		err := cmd.Run()
		failed := c.flag == "" && c.file != ""
		if (err != nil) != failed || strings.TrimSpace(out.String()) != c.flag || !strings.Contains(errs.String(), c.message) ||
			failed && strings.Count(errs.String()[strings.Index(errs.String(), ": line"):], "\n") != 1 {
			t.Errorf("%s: %v, %q, %q", name, err, out.String(), errs.String())
		}
	}
	if out, err := exec.Command(".ci/known-red", filepath.Join(t.TempDir(), "none"), os.DevNull).Output(); err != nil || len(out) > 0 {
		t.Errorf("without a file: %v, %q", err, out)
	}
}
