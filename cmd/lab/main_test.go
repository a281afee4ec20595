package main

import (
	"bytes"
	"context"
	"io"
	"strings"
	"testing"
)

// A usage error ends with code 2 and one line that says what was wrong.
func TestMisuse(t *testing.T) {
	for _, c := range []struct{ args, want string }{
		{"", "a command is required"}, {"nothing", "not a command"}, {"try --for 1ms", "--for 1ms"}, {"try --seed x", "seed"},
		{"try more", "unexpected argument"}, {"fleet --instances 0", "--instances 0"}, {"fleet --state maybe", "--state maybe"},
		{"fleet --load 0", "--load 0"}, {"flet", "did you mean fleet"}, {"sim --gateways 0", "0 gateways"}, {"sim --loss 2", "lost 2"},
		{"quota --sizes 0", "--sizes 0"}, {"search --schedules 0", "--schedules 0"}, {"experiment", "a file is required"}, {"plot nothing.toml", "nothing.toml"},
		{"sim --gateway 3", "gateway"}, {"fleet --in-place --whole", "exclude"}, {"fleet --nothing", "nothing"},
	} {
		var out bytes.Buffer
		code, err := run(context.Background(), strings.Fields(c.args), &out, io.Discard)
		if code != 2 || err == nil || !strings.Contains(err.Error(), c.want) ||
			strings.Contains(err.Error(), "\n") ||
			out.Len() > 0 {
			t.Errorf("%q: code %d, %v, printed %q", c.args, code, err, out.String())
		}
	}
	var out bytes.Buffer
	if code, err := run(
		context.Background(),
		[]string{"--help"},
		&out,
		io.Discard,
	); code != 0 || err != nil ||
		!strings.Contains(out.String(), "Usage:") {
		t.Errorf("help: code %d, %v, %q", code, err, out.String())
	}
}

// By default, lab scale distributes the list of servers by the same path as the program.
func TestScalePlaysTheProgramsPath(t *testing.T) {
	var out bytes.Buffer
	code, err := run(t.Context(), []string{"scale", "--help"}, &out, io.Discard)
	if code != 0 || err != nil {
		t.Fatalf("code %d, %v", code, err)
	}
	for line := range strings.Lines(out.String()) {
		if strings.Contains(line, "--path ") && strings.Contains(line, `(default "delta")`) {
			return
		}
	}
	t.Errorf("the default of --path is not delta:\n%s", out.String())
}
