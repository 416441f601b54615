package cli

import (
	"fmt"
	"io"
	"os"
	"time"
)

const (
	progressAfter = 500 * time.Millisecond
	progressEvery = time.Second
)

// showProgress writes what is waited for to a terminal until the returned
// function is called. It writes nothing if w is no terminal.
func showProgress(w io.Writer, what string) (stop func()) {
	if !isTerminal(w) {
		return func() {}
	}
	done, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		writeProgress(w, what, done)
	}()
	return func() {
		close(done)
		<-stopped
	}
}

func writeProgress(w io.Writer, what string, done <-chan struct{}) {
	start := time.Now()
	timer := time.NewTimer(progressAfter)
	defer timer.Stop()
	shown := false
	for {
		select {
		case <-done:
			if shown {
				fmt.Fprint(w, "\r\x1b[K")
			}
			return
		case <-timer.C:
			fmt.Fprintf(w, "\r\x1b[K%s, %s", what, time.Since(start).Round(time.Second))
			shown = true
			timer.Reset(progressEvery)
		}
	}
}

func isTerminal(w io.Writer) bool {
	f, ok := w.(*os.File)
	if !ok {
		return false
	}
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}
