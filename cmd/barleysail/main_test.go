package main

import (
	"errors"
	"fmt"
	"testing"
)

// The names that commands had up to version 0.1 stay as aliases.
func TestOldCommandNames(t *testing.T) {
	for _, c := range []struct {
		old  []string
		want string
	}{
		{[]string{"rehearse"}, "barleysail scenario"},
		{[]string{"days"}, "barleysail recordings"},
		{[]string{"days", "list"}, "barleysail recordings list"},
		{[]string{"days", "check"}, "barleysail recordings check"},
		{[]string{"days", "show"}, "barleysail recordings show"},
		{[]string{"days", "cut"}, "barleysail recordings cut"},
		{[]string{"guard", "days"}, "barleysail guard replay"},
	} {
		t.Run(fmt.Sprint(c.old), func(t *testing.T) {
			found, rest, err := newRootCommand().Find(c.old)
			if err != nil || len(rest) > 0 || found.CommandPath() != c.want {
				t.Errorf("got command %q, arguments %q, error %v; want command %q", found.CommandPath(), rest, err, c.want)
			}
		})
	}
}

// An old command name behaves as the present one.
func TestOldCommandNamesRun(t *testing.T) {
	for _, c := range []struct{ old, present []string }{
		{[]string{"rehearse", "missing"}, []string{"scenario", "missing"}},
		{[]string{"days", "show", "missing"}, []string{"recordings", "show", "missing"}},
		{[]string{"guard", "days", "missing"}, []string{"guard", "replay", "missing"}},
	} {
		t.Run(fmt.Sprint(c.old), func(t *testing.T) {
			oldOut, oldCode := command(t, "", c.old...)
			presentOut, presentCode := command(t, "", c.present...)
			if oldOut != presentOut || oldCode != presentCode || oldCode != exitFailure {
				t.Errorf("got exit code %d and output %q by the old name, want %d and the output by the present name, "+
					"which is %d and %q", oldCode, oldOut, exitFailure, presentCode, presentOut)
			}
		})
	}
}

// The names that flags had up to version 0.1 set the same value as the present ones.
func TestOldFlagNames(t *testing.T) {
	for _, c := range []struct {
		command            []string
		name, old, setting string
	}{
		{[]string{"scenario"}, "separate-processes", "apart", "true"},
		{[]string{"replay"}, "collapse-ms", "fall-ms", "1234"},
		{[]string{"state", "show"}, "slow-start-ms", "cold-ms", "1234"},
		{[]string{"state", "forget"}, "overrides", "settings", "true"},
		{[]string{"get"}, "controller", "steward", "http://10.0.0.1:70"},
		{[]string{"drain"}, "controller", "steward", "http://10.0.0.1:70"},
		{[]string{"top"}, "controller", "steward", "http://10.0.0.1:70"},
		{[]string{"guard", "check"}, "controller", "steward", "http://10.0.0.1:70"},
	} {
		for _, given := range []string{c.name, c.old} {
			t.Run(fmt.Sprint(c.command, " --", given), func(t *testing.T) {
				cmd, _, err := newRootCommand().Find(c.command)
				if err != nil {
					t.Fatal(err)
				}
				if err := cmd.ParseFlags([]string{"--" + given + "=" + c.setting}); err != nil {
					t.Fatal(err)
				}
				if got := cmd.Flags().Lookup(c.name).Value.String(); got != c.setting {
					t.Errorf("--%s after --%s=%s: got %q, want %q", c.name, given, c.setting, got, c.setting)
				}
			})
		}
	}
}

func TestExitCode(t *testing.T) {
	plain := errors.New("plain")
	for _, c := range []struct {
		name string
		err  error
		want int
	}{
		{"plain", plain, 1},
		{"refused", &exitError{exitRefused, plain}, 3},
		{"unreachable", &exitError{exitUnreachable, plain}, 4},
		{"differs, wrapped", fmt.Errorf("wrapped: %w", &exitError{exitDiffers, plain}), 5},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := exitCode(c.err); got != c.want {
				t.Errorf("got exit code %d, want %d", got, c.want)
			}
			if !errors.Is(c.err, plain) {
				t.Errorf("got error %v, want one that wraps %v", c.err, plain)
			}
		})
	}
}
