// Command linked fails unless a program is linked dynamically against the C library, as the platform requires.
package main

import (
	"debug/elf"
	"fmt"
	"os"
	"slices"
	"strings"
)

func main() {
	if err := check(os.Args[1]); err != nil {
		fmt.Fprintln(os.Stderr, "linked:", err)
		os.Exit(1)
	}
}

func check(path string) error {
	f, err := elf.Open(path)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	defer f.Close()
	libraries, err := f.ImportedLibraries()
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	if !slices.ContainsFunc(libraries, func(name string) bool { return strings.HasPrefix(name, "libc.") }) {
		return fmt.Errorf("%s is not linked against the C library; it needs %v", path, libraries)
	}
	return nil
}
