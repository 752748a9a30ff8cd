package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"barleysail/controller"
	"barleysail/internal/config"
	"barleysail/internal/record"
	"barleysail/internal/record/recordpb"
	"barleysail/replay"
)

// build makes the steward that a recording's start describes.
func build(s *recordpb.Start) (*controller.Controller, error) {
	if s.Format > record.Format {
		return nil, fmt.Errorf("the recording has format %d, %d is the newest known here", s.Format, record.Format)
	}
	c, err := config.Parse("the recorded configuration", []byte(s.Config))
	if err != nil {
		return nil, err
	}
	return config.Steward(config.Of(c, s.Format), s.Life, s.Seed), nil
}

// day is a recording that is being read.
type day struct {
	*record.Reader
	file *os.File
}

func openDay(name string) (*day, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, fmt.Errorf("opening the day: %w", err)
	}
	return &day{record.NewReader(f), f}, nil
}

// faults tells what of a day could not be used.
func (d *day) faults(out io.Writer) {
	for _, f := range d.Faults {
		fmt.Fprintf(out, "damaged: %v\n", f)
	}
}

func replayCommand() *cobra.Command {
	w := &whatIf{}
	c := &cobra.Command{Use: "replay DAY...", Short: "Replay recorded days, with their own setting or with another",
		Long: "Replays each day through the library and compares its answers with the record, byte for byte.\n" +
			"The first difference is told with its time, proxy, host and both values, and the inputs since the last agreement.\n\n" +
			"With --set or --config the recorded arrivals go by the tables of another setting, and service and rules are set\n" +
			"beside those of the recorded setting. For this the recordings of stewards and proxies are needed, or their folder.",
		Args: cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			if w.wanted() {
				return w.run(c.OutOrStdout(), args)
			}
			return sameAgain(c.OutOrStdout(), args)
		}}
	c.Flags().StringArrayVar(&w.set, "set", nil, "FIELD=VALUE of the configuration, as in guard.grace_ms=2000; repeatable")
	c.Flags().StringVar(&w.config, "config", "", "another configuration")
	c.Flags().StringVar(&w.plot, "plot", "", "draw both days to this file, .svg or .png")
	c.Flags().BoolVar(&w.json, "json", false, "as JSON")
	c.Flags().Float64Var(&w.fall, "fall-ms", 3000, "a cold host pushed for so long falls over")
	return c
}

// sameAgain replays stewards' recordings with their own setting.
func sameAgain(out io.Writer, names []string) error {
	names, err := files(names)
	if err != nil {
		return err
	}
	parted, n := 0, 0
	for _, name := range names {
		if proxy, err := isProxy(name); err != nil || proxy {
			continue
		}
		n++
		same, err := again(out, name)
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		if !same {
			parted++
		}
	}
	if n == 0 {
		return errors.New("no steward's recording is among them")
	}
	if parted > 0 {
		return fmt.Errorf("%d of %d days parted from their record", parted, n)
	}
	return nil
}

// isProxy tells whether a recording is a proxy's own.
func isProxy(name string) (bool, error) {
	d, err := openDay(name)
	if err != nil {
		return false, err
	}
	defer d.file.Close()
	r, err := d.Next()
	return err == nil && r.GetProxyStart() != nil, nil
}

func again(out io.Writer, name string) (bool, error) {
	d, err := openDay(name)
	if err != nil {
		return false, err
	}
	defer d.file.Close()
	began := time.Now()
	r, err := replay.Again(d.Next, build)
	if err != nil {
		return false, err
	}
	took := time.Since(began).Seconds()
	fmt.Fprintf(out, "%s: %.1f s of the day in %.2f s: %d inputs, %d answers as recorded\n", name, (r.To-r.From)/1000, took,
		r.Inputs, r.Answers)
	d.faults(out)
	if r.End != nil && !errors.Is(r.End, record.ErrTorn) {
		fmt.Fprintf(out, "the recording ends early: %v\n", r.End)
	}
	if r.First != nil {
		fmt.Fprintf(out, "first difference %v\n", r.First)
	}
	return r.First == nil, nil
}

func daysCommand() *cobra.Command {
	c := &cobra.Command{Use: "days", Short: "Look at recorded days"}
	c.AddCommand(
		&cobra.Command{Use: "list [DIR]", Short: "The recordings in a folder", Args: cobra.MaximumNArgs(1), RunE: listDays},
		&cobra.Command{Use: "check DAY...", Short: "Check that recordings are whole", Args: cobra.MinimumNArgs(1), RunE: checkDays},
		showCommand(), cutCommand())
	return c
}

func listDays(c *cobra.Command, args []string) error {
	dir := "."
	if len(args) > 0 {
		dir = args[0]
	}
	names, err := filepath.Glob(filepath.Join(dir, "*.day"))
	if err != nil {
		return fmt.Errorf("looking for recordings: %w", err)
	}
	w := tabwriter.NewWriter(c.OutOrStdout(), 2, 0, 2, ' ', 0)
	fmt.Fprintln(w, "day\tfrom (UTC)\tlength\trecords\tbytes\tprogram\tstate")
	for _, name := range names {
		if err := listDay(w, name); err != nil {
			fmt.Fprintf(w, "%s\t\t\t\t\t\t%v\n", filepath.Base(name), err)
		}
	}
	return w.Flush()
}

func listDay(w io.Writer, name string) error {
	d, err := openDay(name)
	if err != nil {
		return err
	}
	defer d.file.Close()
	info, err := d.file.Stat()
	if err != nil {
		return err
	}
	n, first, last, program := 0, 0.0, 0.0, ""
	for {
		r, err := d.Next()
		if err != nil {
			break
		}
		if n++; n == 1 {
			first = r.At
		}
		if s := r.GetStart(); s != nil {
			program = s.Program
		} else if s := r.GetProxyStart(); s != nil {
			program = s.Program
		}
		last = r.At
	}
	fmt.Fprintf(w, "%s\t%s\t%.1f s\t%d\t%d\t%s\t%s\n", filepath.Base(name), formatTime(first), (last-first)/1000, n, info.Size(),
		program, recordingState(d))
	return nil
}

func recordingState(d *day) string {
	switch {
	case len(d.Faults) > 0:
		return fmt.Sprintf("%d parts damaged", len(d.Faults))
	case !d.Clean():
		return "not ended cleanly"
	}
	return "whole"
}

func checkDays(c *cobra.Command, args []string) error {
	damaged := 0
	for _, name := range args {
		d, err := openDay(name)
		if err != nil {
			return err
		}
		n := 0
		for err == nil {
			if _, err = d.Next(); err == nil {
				n++
			}
		}
		d.file.Close()
		fmt.Fprintf(c.OutOrStdout(), "%s: %d records, %s\n", name, n, recordingState(d))
		d.faults(c.OutOrStdout())
		if !errors.Is(err, io.EOF) && !errors.Is(err, record.ErrTorn) {
			fmt.Fprintf(c.OutOrStdout(), "%v\n", err)
		}
		if len(d.Faults) > 0 || !errors.Is(err, io.EOF) {
			damaged++
		}
	}
	if damaged > 0 {
		return fmt.Errorf("%d of %d recordings are damaged", damaged, len(args))
	}
	return nil
}

func showCommand() *cobra.Command {
	var asJSON bool
	c := &cobra.Command{Use: "show DAY", Short: "What happened in a day", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			d, err := openDay(args[0])
			if err != nil {
				return err
			}
			defer d.file.Close()
			s, err := replay.Summarize(d.Next, build)
			if err != nil {
				return err
			}
			if asJSON {
				return printJSON(c.OutOrStdout(), s)
			}
			show(c.OutOrStdout(), s)
			d.faults(c.OutOrStdout())
			return nil
		}}
	c.Flags().BoolVar(&asJSON, "json", false, "as JSON")
	return c
}

func show(out io.Writer, s *replay.Summary) {
	fmt.Fprintf(out, "from %s, %.1f s, steward %s of version %s\n%d records; at most %d proxies joined and %d hosts listed\n\n",
		formatTime(s.From), (s.To-s.From)/1000, s.Start.Life, s.Start.Program, s.Records, s.Proxies, s.Hosts)
	w := tabwriter.NewWriter(out, 2, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "from s\tcame\tunanswered\ttries\tfailed\tmessages\tjoined\tleft\tprobes answered\tnot\t")
	for _, x := range s.Spans {
		fmt.Fprintf(w, "%.0f\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t\n", (x.From-s.From)/1000, x.Came, x.Unanswered, x.Tries, x.Failed,
			x.Messages, x.Joined, x.Left, x.ProbesFine, x.ProbesOther)
	}
	w.Flush()
	fmt.Fprintln(out)
	for _, m := range s.Moments {
		fmt.Fprintf(out, "%9.3f s  %s\n", (m.At-s.From)/1000, m.Text)
	}
	if s.Lost > 0 {
		fmt.Fprintf(out, "and %d more\n", s.Lost)
	}
	if s.End != nil {
		fmt.Fprintf(out, "the recording ends early: %v\n", s.End)
	}
}

func cutCommand() *cobra.Command {
	var from, to float64
	var output string
	c := &cobra.Command{Use: "cut DAY", Short: "Cut a part out of a day, as a small test case", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			if !(from >= 0 && to > from) || output == "" || !strings.HasSuffix(output, ".day") {
				return errors.New("a part has --from and --to in seconds of the day, and an --output that ends in .day")
			}
			return cut(c.OutOrStdout(), args[0], output, from, to)
		}}
	c.Flags().Float64Var(&from, "from", 0, "seconds from the day's start")
	c.Flags().Float64Var(&to, "to", 0, "seconds from the day's start")
	c.Flags().StringVarP(&output, "output", "o", "", "the file to write")
	return c
}

func cut(out io.Writer, name, output string, from, to float64) (err error) {
	d, err := openDay(name)
	if err != nil {
		return err
	}
	defer d.file.Close()
	first, err := d.Next()
	if err != nil {
		return fmt.Errorf("reading the day: %w", err)
	}
	f, err := os.OpenFile(output, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o644)
	if err != nil {
		return fmt.Errorf("making the part: %w", err)
	}
	defer func() {
		if closed := f.Close(); err == nil {
			err = closed
		}
	}()
	w, n, given := record.NewWriter(f), 0, false
	next := func() (*recordpb.Record, error) {
		if !given {
			given = true
			return first, nil
		}
		return d.Next()
	}
	err = replay.Cut(next, build, first.At+from*1000, first.At+to*1000, func(r *recordpb.Record) error {
		n++
		return w.Write(r)
	})
	if err != nil {
		return err
	}
	if err := w.Close(); err != nil {
		return err
	}
	fmt.Fprintf(out, "%s: %d records\n", output, n)
	return nil
}
