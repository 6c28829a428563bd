package main

import (
	"os"
	"regexp"
	"strconv"
	"testing"

	"cactustray/event"

	"github.com/shoenig/test/must"
)

// The daemon links every package that defines events, so event.All returns all
// of them here; docs/EVENTS.md must list the same numbers and titles.
func TestEventsPageListsAllEvents(t *testing.T) {
	page, err := os.ReadFile("../../docs/EVENTS.md")
	must.NoError(t, err)
	written := make(map[int]string)
	for _, row := range regexp.MustCompile(`(?m)^\| (\d+) \| ([^|]+) \| [^|]+ \| [^|]+ \|$`).FindAllStringSubmatch(string(page), -1) {
		number, err := strconv.Atoi(row[1])
		must.NoError(t, err)
		must.MapNotContainsKey(t, written, number, must.Sprint("number written twice"))
		written[number] = row[2]
	}
	defined := make(map[int]string)
	for _, e := range event.All() {
		must.MapNotContainsKey(t, defined, e.Number, must.Sprint("number defined twice"))
		defined[e.Number] = e.Name
	}
	must.Eq(t, defined, written)
}
