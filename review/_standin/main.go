package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitCannot  = 2
	recordUsage = "usage: review-standin CASE RECORD"
)

// record is the record of a run: what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	out   *bufio.Writer
	begun time.Time
}

// line writes a line with the time since the start.
func (r *record) line(kind, format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f %-8s %s\n", time.Since(r.begun).Seconds(), kind, fmt.Sprintf(format, values...))
}

// say writes a line to the record and to standard output.
func (r *record) say(format string, values ...any) {
	fmt.Printf(format+"\n", values...)
	r.line("result", format, values...)
}

var cases = map[string]func(*cluster, bool) (broken bool, err error){
	"moved":    moved,
	"settings": settings,
	"lifetime": lifetime,
	"history":  history,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, recordUsage)
		return exitCannot
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannot
	}
	defer file.Close()
	r := &record{out: bufio.NewWriter(file), begun: time.Now()}
	defer func() { _ = r.out.Flush() }()
	c, err := newCluster(r)
	if err != nil {
		r.say("cannot run: %v", err)
		return exitCannot
	}
	defer c.end()
	trouble := os.Getenv("TROUBLE") != "0"
	r.line("case", "%s, with the disruption: %v", os.Args[1], trouble)
	broken, err := cases[os.Args[1]](c, trouble)
	switch {
	case err != nil:
		r.say("cannot run: %v", err)
		return exitCannot
	case broken:
		r.say("the rule was broken")
		return exitBroken
	}
	r.say("the rule held")
	return exitHeld
}
