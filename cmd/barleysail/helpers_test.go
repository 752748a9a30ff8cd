package main

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"os"
	"strings"
	"testing"

	"github.com/rs/zerolog"

	"barleysail/internal/config"
	"barleysail/internal/config/configpb"
	"barleysail/internal/daemon"
)

// command runs a command line, against the controller at a URL unless that is empty; diff takes its controllers as
// arguments instead. It returns what the command printed, followed by its error, and the exit code.
func command(t *testing.T, url string, args ...string) (output string, code int) {
	t.Helper()
	root := newRootCommand()
	var out bytes.Buffer
	root.SetOut(&out)
	if url != "" && args[0] != "diff" {
		args = append(args, "--controller", url)
	}
	root.SetArgs(args)
	if err := root.ExecuteContext(context.Background()); err != nil {
		return out.String() + err.Error(), exitCode(err)
	}
	return out.String(), 0
}

// commandCase is a command line with its expected exit code and expected parts of its output.
type commandCase struct {
	name string
	args []string
	code int
	want []string
}

// runCases runs command lines one after the other, each as a subtest.
func runCases(t *testing.T, url string, cases []commandCase) {
	t.Helper()
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			out, code := command(t, url, c.args...)
			if code != c.code {
				t.Errorf("%v: got exit code %d, want %d; output:\n%s", c.args, code, c.code, out)
			}
			for _, part := range c.want {
				if !strings.Contains(out, part) {
					t.Errorf("%v: got output\n%s\nwant %q in it", c.args, out, part)
				}
			}
		})
	}
}

// writeTextFile writes a text file and returns its name.
func writeTextFile(t *testing.T, name, text string) string {
	t.Helper()
	if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return name
}

// parseConfig reads a configuration in protobuf text format.
func parseConfig(t *testing.T, text string) *configpb.Config {
	t.Helper()
	settings, err := config.Parse("test", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return settings
}

// startController starts a controller that does not log. The caller stops it.
func startController(t *testing.T, settings *configpb.Config) *daemon.Daemon {
	t.Helper()
	controller, err := daemon.Start(settings, "test", zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	return controller
}

// fetch makes a GET request and drops the response.
func fetch(t *testing.T, url string) {
	t.Helper()
	response, err := http.Get(url)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		t.Fatal(err)
	}
	if err := response.Body.Close(); err != nil {
		t.Fatal(err)
	}
}
