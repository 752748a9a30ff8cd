// Command bed plays one case of the second review against the program: it starts the program as the deploy file says,
// takes the place of the platform (discovery, hosts, proxies, collectors), and judges one rule from what passed.
//
// Usage: bed -root REPOSITORY -record FILE [-seed N] CASE
//
// With TROUBLE=0 in the environment the disruption of the case is left out. It exits with 1 if the rule was broken, with
// 0 if it held, and with 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"sort"
	"syscall"
	"time"
)

// A playFunc plays one case on a bed that is set up for it.
type playFunc func(b *bed)

// A caseSpec describes a case.
type caseSpec struct {
	settings func() *settings
	play     playFunc
}

var cases = map[string]caseSpec{}

func main() {
	root := flag.String("root", ".", "root of the repository")
	record := flag.String("record", "", "file of the record; empty: standard output")
	seed := flag.Int64("seed", 1, "seed of the stand-ins")
	flag.Parse()
	spec, known := cases[flag.Arg(0)]
	if !known {
		var names []string
		for name := range cases {
			names = append(names, name)
		}
		sort.Strings(names)
		fmt.Fprintf(os.Stderr, "bed: name one of the cases %q\n", names)
		os.Exit(2)
	}
	out := os.Stdout
	if *record != "" {
		file, err := os.Create(*record)
		if err != nil {
			fmt.Fprintln(os.Stderr, "bed:", err)
			os.Exit(2)
		}
		out = file
	}
	b := newBed(*root, out, *seed, spec.settings())
	b.trouble = os.Getenv("TROUBLE") != "0"
	b.logf("case %s, seed %d, disruption %v", flag.Arg(0), *seed, b.trouble)
	os.Exit(run(b, spec.play))
}

// run plays a case and returns the exit status. It ends all processes and listeners that the case has started.
func run(b *bed, play playFunc) (status int) {
	defer b.close()
	defer func() {
		if failed, ok := recover().(cannotRun); ok {
			b.logf("the case could not run: %s", string(failed))
			fmt.Fprintln(os.Stderr, "bed: the case could not run:", string(failed))
			status = 2
		}
	}()
	done := make(chan struct{})
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		select {
		case <-done:
		case <-signals:
			b.close()
			os.Exit(2)
		case <-time.After(115 * time.Second):
			b.logf("the case took too long")
			b.close()
			os.Exit(2)
		}
	}()
	play(b)
	close(done)
	return b.verdict()
}

// cannotRun is the panic value of a case that cannot run.
type cannotRun string

func fail(format string, args ...any) { panic(cannotRun(fmt.Sprintf(format, args...))) }
