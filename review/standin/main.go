// Command standin plays one case of the review: it starts hosts as the deploy file does, on stand-ins of the users'
// platform, and checks one rule. It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"time"
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		os.Exit(2)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	run, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", os.Args[1])
		os.Exit(2)
	}
	time.AfterFunc(115*time.Second, func() { check(fmt.Errorf("the case takes too long")) })
	run(newWorld(os.Args[2]), trouble)
}
