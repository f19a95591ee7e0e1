//go:build review

// Command rig-2 plays one case of the second review: it starts the programs of entry hosts
// on loopback addresses beside stand-ins of the platform, the engines and the clients. It
// exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the case could
// not run. With TROUBLE=0 in the environment the disruption is left out.
package main

import (
	"bufio"
	"flag"
	"fmt"
	"os"
)

// The exit statuses.
const (
	held   = 0
	broken = 1
	failed = 2
)

// cases are the cases by name. Each reports whether its rule was broken.
var cases = map[string]func(b *bed, trouble bool) (broke bool, err error){
	"outage":  playOutage,
	"weights": playWeights,
	"second":  playSecond,
}

func main() { os.Exit(run()) }

func run() int {
	binary := flag.String("binary", "target/kingcupquay", "program of the hosts")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	logs := flag.String("logs", "", "folder to which the logs of the hosts are copied")
	flag.Parse()
	play, ok := cases[flag.Arg(0)]
	if !ok {
		fmt.Fprintf(os.Stderr, "no case %q\n", flag.Arg(0))
		return failed
	}
	file, err := os.Create(*record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer func() { _ = file.Close() }()
	writer := bufio.NewWriter(file)
	defer func() { _ = writer.Flush() }()
	b, err := newBed(*binary, writer)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer b.close()
	trouble := os.Getenv("TROUBLE") != "0"
	b.note("case %s, with the disruption: %t", flag.Arg(0), trouble)
	broke, err := play(b, trouble)
	if *logs != "" {
		if err := os.CopyFS(*logs, os.DirFS(b.dir)); err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
	}
	switch {
	case err != nil:
		b.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return failed
	case broke:
		b.note("the rule was broken")
		return broken
	}
	b.note("the rule held")
	return held
}
