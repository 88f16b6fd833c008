// Command scenario runs one case of the review: it starts hosts of the system as processes, with stand-ins for the platform's store, the
// backend servers and the clients, and checks one rule. The first argument is the name of the case, the second the folder of the case.
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 it leaves out the disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// limit is the time after which a case is given up.
const limit = 110 * time.Second

// scenarios holds the cases. Each returns an error if it could not run.
var scenarios = map[string]func(w *world, trouble bool) error{}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: scenario CASE FOLDER")
		return exitNotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	dir, err := os.MkdirTemp("", "poplarcroft-review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	w, err := newWorld(dir, rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	done := make(chan error, 1)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() { done <- scenarios[os.Args[1]](w, trouble) }()
	select {
	case err = <-done:
	case <-signals:
		err = fmt.Errorf("interrupted")
	case <-time.After(limit):
		err = fmt.Errorf("not ended after %s", limit)
	}
	if err != nil && os.Getenv("KEEP_LOGS") != "" {
		fmt.Fprintln(os.Stderr, "logs in", dir)
	} else {
		defer w.end()
	}
	return verdict(rec, trouble, err)
}

// verdict prints the result and returns the exit code.
func verdict(rec *record, trouble bool, err error) int {
	broken := rec.violations()
	switch {
	case broken > 0:
		rec.note("the rule was broken, trouble %t, %d violations", trouble, broken)
		fmt.Printf("broken: %d violations, trouble %t\n", broken, trouble)
		return exitBroken
	case err != nil:
		rec.note("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitNotRun
	}
	rec.note("the rule held, trouble %t", trouble)
	fmt.Printf("held, trouble %t\n", trouble)
	return exitHeld
}
