// Command simhost runs the decision logic of gateways for the simulator. It reads batches of events
// from standard input and writes the resulting actions to standard output. All decisions are made
// by package policy.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"

	"mothcleat/internal/dataplane/simprotocol"
)

const bufferSize = 1 << 16 // bytes

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}

// run reads batches and writes a reply to each until the input ends.
func run(in io.Reader, out io.Writer) error {
	reader := bufio.NewReaderSize(in, bufferSize)
	writer := bufio.NewWriterSize(out, bufferSize)
	h := newHost()
	var body []byte // reused for each batch
	for {
		batch, err := simprotocol.ReadBatch(reader, body)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		body = batch.Body
		reply, err := h.handleBatch(&batch)
		if err != nil {
			return err
		}
		if err := writeReply(writer, reply); err != nil {
			return fmt.Errorf("writing reply %d: %w", batch.Index, err)
		}
	}
}

func writeReply(w *bufio.Writer, reply []byte) error {
	if _, err := w.Write(reply); err != nil {
		return err
	}
	return w.Flush()
}
