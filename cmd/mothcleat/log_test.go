package main

import (
	"io"
	"log/slog"
)

func logTo(w io.Writer) *slog.Logger { return slog.New(slog.NewTextHandler(w, nil)) }

func quietLog() *slog.Logger { return logTo(io.Discard) }
