// Command knownred runs "go test" with the given arguments and tolerates failures of only the tests listed in
// KNOWN-RED.txt: at most three, one per line, as "package.Test | cause | issue". A listed test that passes fails CI, as
// does a malformed list.
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
	listFile  = "KNOWN-RED.txt"
	maxListed = 3
)

// knownFailure is a test that is known to fail.
type knownFailure struct {
	Package, Test, Cause, Issue string
}

var testName = regexp.MustCompile(`^(.+)\.(Test\w+)$`)

// parse reads the list and ignores blank lines.
func parse(text string) (all []knownFailure, err error) {
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
			return nil, fmt.Errorf("%s, line %d: the package and test, the cause and the issue are required", listFile, n+1)
		}
		all = append(all, knownFailure{Package: name[1], Test: name[2], Cause: fields[1], Issue: fields[2]})
	}
	if len(all) > maxListed {
		return nil, fmt.Errorf("%s lists %d tests; the maximum is %d", listFile, len(all), maxListed)
	}
	return all, nil
}

// skipPattern returns the go test -skip pattern for the listed tests of a package.
func skipPattern(all []knownFailure, pkg string) string {
	var names []string
	for _, r := range all {
		if r.Package == pkg {
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

// run tests the packages that match the last argument. It runs the listed tests separately.
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
			failures = append(failures, fmt.Errorf("%s.%s passes: remove it from %s", r.Package, r.Test, listFile))
		}
	}
	var unlisted []string
	for _, p := range packages {
		if slices.ContainsFunc(all, func(r knownFailure) bool { return r.Package == p }) {
			failures = append(failures, goTest(append(slices.Clone(flags), "-skip", skipPattern(all, p)), p))
		} else {
			unlisted = append(unlisted, p)
		}
	}
	if len(unlisted) > 0 {
		failures = append(failures, goTest(flags, unlisted...))
	}
	return errors.Join(failures...)
}

func goTest(flags []string, packages ...string) error {
	command := exec.Command("go", append(append([]string{"test"}, flags...), packages...)...)
	command.Stdout = os.Stdout
	command.Stderr = os.Stderr
	return command.Run()
}
