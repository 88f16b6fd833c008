// Command standin-2 plays the cases of the second review: it starts the program under test as separate processes, with stand-ins of
// the platform's store, the targets and the clients, and judges only what these see. Usage: standin-2 CASE FOLDER PROGRAM, with the
// command of the deploy file as PROGRAM. Without the environment's TROUBLE=0 it makes the case's disruption. It exits with 1 if the
// rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// record writes record.txt: what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%7.3f s  "+format+"\n", append([]any{time.Since(r.began).Seconds()}, args...)...)
}

// cleanups are the functions that end what the case has started.
var cleanups []func()

// exit ends everything that was started, and then the process.
func exit(code int) {
	for i := len(cleanups) - 1; i >= 0; i-- {
		cleanups[i]()
	}
	os.Exit(code)
}

// check ends the case if it cannot run.
func check(err error, what string) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case cannot run:", what+":", err)
		exit(exitNotRun)
	}
}

// world is what all cases start: a store, targets and hosts, with a temporary folder for the files of the hosts.
type world struct {
	dir, program string
	trouble      bool
	record       *record
	store        *store
	targets      []*target
	hosts        []*host
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE FOLDER PROGRAM")
		os.Exit(exitNotRun)
	}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no case", os.Args[1])
		os.Exit(exitNotRun)
	}
	file, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	check(err, "record.txt")
	dir, err := os.MkdirTemp("", "review-2-")
	check(err, "temporary folder")
	if os.Getenv("KEEP") == "" {
		cleanups = append(cleanups, func() { os.RemoveAll(dir) })
	}
	w := &world{
		dir: dir, program: os.Args[3], trouble: os.Getenv("TROUBLE") != "0",
		record: &record{file: file, began: time.Now()}, store: newStore(),
	}
	cleanups = append(cleanups, func() {
		for _, h := range w.hosts {
			h.stop()
		}
	})
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		exit(exitNotRun)
	}()
	broken := play(w)
	w.record.line("the rule was broken: %v", broken)
	fmt.Println("the rule was broken:", broken)
	if broken {
		exit(exitBroken)
	}
	exit(exitHeld)
}
