package replica

import (
	"fmt"
	"log/slog"

	"go.etcd.io/raft/v3"
)

// raftLogger logs the raft library's warnings and errors, each one level lower, because the library
// logs ordinary events of an election as warnings. Messages below warnings are dropped.
type raftLogger struct{ log *slog.Logger }

var _ raft.Logger = raftLogger{}

func (l raftLogger) Debug(...any)          {}
func (l raftLogger) Debugf(string, ...any) {}
func (l raftLogger) Info(...any)           {}
func (l raftLogger) Infof(string, ...any)  {}

func (l raftLogger) Warning(v ...any) {
	l.log.Debug("fleet: log", "warning", fmt.Sprint(v...))
}

func (l raftLogger) Warningf(format string, v ...any) { l.Warning(fmt.Sprintf(format, v...)) }

func (l raftLogger) Error(v ...any) {
	l.log.Warn("fleet: log", "error", fmt.Sprint(v...))
}

func (l raftLogger) Errorf(format string, v ...any) { l.Error(fmt.Sprintf(format, v...)) }

func (l raftLogger) Fatal(v ...any)                 { panic(fmt.Sprint(v...)) }
func (l raftLogger) Fatalf(format string, v ...any) { panic(fmt.Sprintf(format, v...)) }
func (l raftLogger) Panic(v ...any)                 { panic(fmt.Sprint(v...)) }
func (l raftLogger) Panicf(format string, v ...any) { panic(fmt.Sprintf(format, v...)) }
