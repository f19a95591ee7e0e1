//go:build review

// Command rig plays the scripted cases of the review. It starts the programs of
// the deploy file as processes on loopback addresses, with stand-ins for the
// platform's store, the engines and the clients, and checks one rule.
//
// It exits with 0 if the rule held, 1 if it was broken, and 2 if the case could
// not run. With TROUBLE=0 it plays the same without the disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases maps the names of the cases to their functions. A function returns
// whether the rule held.
var cases = map[string]func(b *bed, trouble bool) (held bool, err error){
	"split":     runSplit,
	"given-up":  runGivenUp,
	"restart":   runRestart,
	"poison":    runPoison,
	"third":     runThirdCrash,
	"unframed":  runUnframed,
	"leaving":   runLeaving,
	"catch-all": runCatchAll,
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: rig CASE RECORD")
		os.Exit(exitNotRun)
	}
	run, known := cases[os.Args[1]]
	if !known {
		fmt.Fprintf(os.Stderr, "no case %q\n", os.Args[1])
		os.Exit(exitNotRun)
	}
	os.Exit(play(run, os.Args[2], os.Getenv("TROUBLE") != "0"))
}

// play runs a case and returns the exit code.
func play(run func(*bed, bool) (bool, error), recordFile string, trouble bool) int {
	b, err := newBed(recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer b.close()
	time.AfterFunc(maxRun, func() {
		b.record("the case took too long")
		b.close()
		os.Exit(exitNotRun)
	})
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-stop
		b.record("stopped by a signal")
		b.close()
		os.Exit(exitNotRun)
	}()
	b.record("trouble: %v", trouble)
	held, err := run(b, trouble)
	switch {
	case err != nil:
		b.record("not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	case held:
		b.record("the rule held")
		return exitHeld
	}
	b.record("the rule was broken")
	return exitBroken
}

// maxRun bounds the time of a case.
const maxRun = 118 * time.Second
