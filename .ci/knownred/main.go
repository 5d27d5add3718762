// Command knownred runs "go test" with the arguments that it is given and lets CI pass over just the tests that
// KNOWN-RED.txt lists: at most three, one line each, "package.Test | cause | issue". A listed test that passes fails CI, as
// does a list that can't be read.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"regexp"
	"slices"
	"strings"
)

const (
	listFile   = "KNOWN-RED.txt"
	mostListed = 3
)

// red is a test that is known to fail.
type red struct {
	Package, Test, Cause, Issue string
}

var testName = regexp.MustCompile(`^(.+)\.(Test\w+)$`)

// parse reads the list. Blank lines don't count.
func parse(text string) (all []red, err error) {
	for n, line := range strings.Split(text, "\n") {
		if strings.TrimSpace(line) == "" {
			continue
		}
		fields := strings.Split(line, "|")
		if len(fields) != 3 {
			return nil, fmt.Errorf("%s, line %d: not \"package.Test | cause | issue\"", listFile, n+1)
		}
		for k := range fields {
			fields[k] = strings.TrimSpace(fields[k])
		}
		name := testName.FindStringSubmatch(fields[0])
		if name == nil || fields[1] == "" || fields[2] == "" {
			return nil, fmt.Errorf("%s, line %d: a test of a package, its cause and its issue have to be said", listFile, n+1)
		}
		all = append(all, red{Package: name[1], Test: name[2], Cause: fields[1], Issue: fields[2]})
	}
	if len(all) > mostListed {
		return nil, fmt.Errorf("%s lists %d tests; %d are the most", listFile, len(all), mostListed)
	}
	return all, nil
}

// skipped is the pattern of go test's -skip for the listed tests of a package.
func skipped(all []red, of string) string {
	var names []string
	for _, r := range all {
		if r.Package == of {
			names = append(names, r.Test)
		}
	}
	return "^(" + strings.Join(names, "|") + ")$"
}

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "knownred:", err)
		os.Exit(1)
	}
}

// run plays all packages that args name (the last argument is their pattern), the listed tests by themselves.
func run(args []string) error {
	if len(args) == 0 {
		return errors.New("usage: knownred [flags of go test] PACKAGES")
	}
	text, err := os.ReadFile(listFile)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return err
	}
	all, err := parse(string(text))
	if err != nil {
		return err
	}
	flags, pattern := args[:len(args)-1], args[len(args)-1]
	if len(all) == 0 {
		return goTest(flags, pattern)
	}
	listed, err := exec.Command("go", "list", pattern).Output()
	if err != nil {
		return fmt.Errorf("go list %s: %w", pattern, err)
	}
	packages := strings.Fields(string(listed))
	var failures []error
	for _, r := range all {
		if !slices.Contains(packages, r.Package) {
			continue
		}
		fmt.Printf("known red: %s.%s: %s (issue %s)\n", r.Package, r.Test, r.Cause, r.Issue)
		if goTest(append(slices.Clone(flags), "-run", "^"+r.Test+"$"), r.Package) == nil {
			failures = append(failures, fmt.Errorf("%s.%s passes: take it off %s", r.Package, r.Test, listFile))
		}
	}
	var clean []string
	for _, p := range packages {
		if slices.ContainsFunc(all, func(r red) bool { return r.Package == p }) {
			failures = append(failures, goTest(append(slices.Clone(flags), "-skip", skipped(all, p)), p))
		} else {
			clean = append(clean, p)
		}
	}
	if len(clean) > 0 {
		failures = append(failures, goTest(flags, clean...))
	}
	return errors.Join(failures...)
}

func goTest(flags []string, packages ...string) error {
	command := exec.Command("go", append(append([]string{"test"}, flags...), packages...)...)
	command.Stdout = os.Stdout
	command.Stderr = os.Stderr
	return command.Run()
}
