package main

import (
	"errors"
	"fmt"
	"io"
	"math"

	"barleysail/replay"
)

const maxModeChanges = 15 // limit of the text output for each replay; JSON has all

// comparisonReport is the result of a settingsComparison, and its JSON form.
type comparisonReport struct {
	Comparison *replay.Comparison `json:"comparison"`
	Changed    *replay.Outcome    `json:"other"` // with the changed configuration
	Recorded   *replay.Outcome    `json:"same"`  // with the recorded configuration
}

func (r *comparisonReport) printJSON(out io.Writer) error {
	clipEstimates(r.Comparison)
	return printJSON(out, r)
}

// clipEstimates limits intervals to -1 and 1, the bounds of a difference of shares, since JSON has no infinity.
func clipEstimates(comparison *replay.Comparison) {
	clip := func(estimate *replay.Estimate) {
		estimate.Low = math.Max(estimate.Low, -1)
		estimate.High = math.Min(estimate.High, 1)
	}
	clip(&comparison.Overall.Difference)
	clip(&comparison.ModelError)
	for i := range comparison.Classes {
		clip(&comparison.Classes[i].Difference)
	}
}

// formatEstimate formats a value with its 95% confidence interval. It marks a value that does not differ significantly
// from 0 by "none".
func formatEstimate(estimate replay.Estimate) string {
	mark := ""
	if !estimate.Significant() {
		mark = "  none"
	}
	return fmt.Sprintf("%+.4f (%+.4f to %+.4f)%s", estimate.Value, estimate.Low, estimate.High, mark)
}

func (r *comparisonReport) print(out io.Writer) error {
	if err := r.printService(out); err != nil {
		return err
	}
	p := newPrinter(out)
	r.printModel(p)
	if err := errors.Join(p.flush(), r.printInvariants(out)); err != nil {
		return err
	}
	r.printDifferingWindows(p)
	r.printClocks(p)
	printModeChanges(p, "replayed", r.Recorded)
	printModeChanges(p, "with the other setting", r.Changed)
	return p.flush()
}

// printService prints the fraction of the requested priority weight that was served, in total and by request class.
func (r *comparisonReport) printService(out io.Writer) error {
	columns := newColumnPrinter(out)
	columns.println("service\trecorded\treplayed\twith the other setting\tdifference (95 of 100)")
	rows := append([]replay.ClassDifference{r.Comparison.Overall}, r.Comparison.Classes...)
	for _, row := range rows {
		columns.printf("%s\t%.4f\t%.4f\t%.4f\t%s\n", row.Class, row.Recorded, row.Baseline, row.Variant,
			formatEstimate(row.Difference))
	}
	return columns.flush()
}

// printModel prints how accurate the replay's model of the hosts is.
func (r *comparisonReport) printModel(p *printer) {
	one := r.Recorded
	other := r.Changed
	p.printf("\nthe model, replayed less recorded: %s\n", formatEstimate(r.Comparison.ModelError))
	p.printf("responses extrapolated, without an observation of the host: %.1f%% and %.1f%%; "+
		"taken as recorded: %d and %d\n",
		percentage(one.ExtrapolatedAttempts, one.Attempts), percentage(other.ExtrapolatedAttempts, other.Attempts),
		one.UnroutedRequests, other.UnroutedRequests)
	p.printf("messages to proxies: %d and %d; mean optimality gap of the tables: %.4f and %.4f\n\n",
		r.Comparison.Messages[0], r.Comparison.Messages[1], one.MeanOptimalityGap(), other.MeanOptimalityGap())
}

// percentage returns a fraction of a total in percent, 0 for a total of 0.
func percentage(part, total int) float64 { return 100 * float64(part) / math.Max(float64(total), 1) }

// printInvariants prints the margins of the invariants in both replays.
func (r *comparisonReport) printInvariants(out io.Writer) error {
	columns := newColumnPrinter(out)
	columns.println("rule\tmargin\tother\t")
	for i, verdict := range r.Recorded.Verdicts {
		if i < len(r.Changed.Verdicts) {
			other := r.Changed.Verdicts[i]
			columns.printf("%s\t%.2f\t%.2f\t%s\n", verdict.Rule, verdict.Margin, other.Margin, other.Seen)
		}
	}
	return columns.flush()
}

// printDifferingWindows prints the windows in which the service of the two replays differs.
func (r *comparisonReport) printDifferingWindows(p *printer) {
	for _, window := range r.Comparison.DifferingWindows {
		p.printf("service level differs at %.0f s: %.3f, with the other setting %.3f\n",
			seconds(window.FromMs-r.Recorded.FromMs), window.Baseline, window.Variant)
	}
}

// printClocks prints the alignment of the proxies' clocks with the controllers', and the number of requests that were
// recorded twice.
func (r *comparisonReport) printClocks(p *printer) {
	maxErrorMs := 0.0
	adjustments := 0
	for _, offsets := range r.Recorded.ClockOffsets {
		adjustments += len(offsets) - 1
		for _, offset := range offsets {
			maxErrorMs = math.Max(maxErrorMs, offset.ErrorMs)
		}
	}
	p.printf("clocks of %d proxies aligned with the controllers', within %.1f ms; %d realignments during the recording\n",
		len(r.Recorded.ClockOffsets), maxErrorMs, adjustments)
	if r.Recorded.DuplicateRequests > 0 {
		p.printf("%d requests were recorded twice and are replayed once\n", r.Recorded.DuplicateRequests)
	}
}

func printModeChanges(p *printer, name string, outcome *replay.Outcome) {
	p.printf("changes of mode, %s:\n", name)
	for i, moment := range outcome.Events {
		if i == maxModeChanges {
			p.printf("  and %d more\n", len(outcome.Events)-i)
			return
		}
		p.printf("  %9.3f s  %s\n", seconds(moment.AtMs-outcome.FromMs), moment.Text)
	}
}
