package main

import (
	"testing"

	"github.com/shoenig/test/must"
)

func TestTheListIsRead(t *testing.T) {
	all, err := parse("ottershift/internal/a.TestOne | a race | 57\n\nottershift/internal/b.TestTwo | a cause | 58\n")
	must.NoError(t, err)
	must.Eq(t, []red{{"ottershift/internal/a", "TestOne", "a race", "57"}, {"ottershift/internal/b", "TestTwo", "a cause", "58"}}, all)
	must.Eq(t, "^(TestOne)$", skipped(all, "ottershift/internal/a"))
}

func TestAListThatSaysTooLittleOrTooMuchIsRefused(t *testing.T) {
	line := "ottershift/internal/a.TestOne | a race | 57\n"
	for _, text := range []string{
		"ottershift/internal/a.TestOne | a race\n", "TestOne | a race | 57\n", "ottershift/internal/a.TestOne | | 57\n", line + line + line + line,
	} {
		_, err := parse(text)
		must.Error(t, err)
	}
}
