package main

import (
	"testing"

	"github.com/shoenig/test/must"
)

func TestParse(t *testing.T) {
	all, err := parse("ottershift/internal/a.TestOne | a race | 57\n\nottershift/internal/b.TestTwo | a cause | 58\n")
	must.NoError(t, err)
	must.Eq(t, []knownFailure{{"ottershift/internal/a", "TestOne", "a race", "57"}, {"ottershift/internal/b", "TestTwo", "a cause", "58"}}, all)
	must.Eq(t, "^(TestOne)$", skipPattern(all, "ottershift/internal/a"))
}

func TestParseRejectsIncompleteOrOversizedList(t *testing.T) {
	line := "ottershift/internal/a.TestOne | a race | 57\n"
	for _, text := range []string{
		"ottershift/internal/a.TestOne | a race\n", "TestOne | a race | 57\n", "ottershift/internal/a.TestOne | | 57\n", line + line + line + line,
	} {
		_, err := parse(text)
		must.Error(t, err)
	}
}
