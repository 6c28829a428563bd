// Rig3 runs the scripts of this review: it starts the system's programs and small stand-ins on
// loopback addresses. It exits with 1 if the rule was broken, 0 if it held, 2 if the case could
// not run.
package main

import (
	"fmt"
	"os"
)

// cases has the scripts by name. Each returns what broke the rule. trouble is false for the same
// run without the disruption.
var cases = map[string]func(r *record, trouble bool) (broken []string, err error){
	"flow":    flowCase,
	"recover": recoverCase,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig3 CASE RECORD")
		os.Exit(2)
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	broken, err := cases[os.Args[1]](r, os.Getenv("TROUBLE") != "0")
	if err != nil {
		r.add("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	for _, b := range broken {
		r.add("BROKEN: %s", b)
	}
	fmt.Printf("rule broken %d times\n", len(broken))
	if len(broken) > 0 {
		fmt.Println(broken[0])
		os.Exit(1)
	}
}
