package cli

import (
	"fmt"
	"io"
	"os"
	"time"
)

const (
	progressDelay    = 500 * time.Millisecond // before the first output
	progressInterval = time.Second            // between outputs
)

// showProgress shows the activity and its duration on a terminal until the returned
// function is called. It writes nothing if w is not a terminal.
func showProgress(w io.Writer, activity string) (stop func()) {
	if !isTerminal(w) {
		return func() {}
	}
	done, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		writeProgress(w, activity, done)
	}()
	return func() {
		close(done)
		<-stopped
	}
}

func writeProgress(w io.Writer, activity string, done <-chan struct{}) {
	start := time.Now()
	timer := time.NewTimer(progressDelay)
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
			fmt.Fprintf(w, "\r\x1b[K%s, %s", activity, time.Since(start).Round(time.Second))
			shown = true
			timer.Reset(progressInterval)
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
