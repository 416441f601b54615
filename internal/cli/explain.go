package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"

	"pollenbend/internal/cell/engine"
)

// operatorFlags holds the flags of the commands that ask an instance on the users' platform, on
// the address that serves its metrics.
type operatorFlags struct {
	servers []string
	output  string
	json    bool
}

func (f *operatorFlags) register(sub *flaggy.Subcommand) {
	sub.StringSlice(&f.servers, "s", "server", "base URL of the address that serves an instance's metrics; may be repeated; $"+envServers+" by default")
	sub.String(&f.output, "o", "output", "text or json")
	sub.Bool(&f.json, "", "json", "the same as --output json")
}

// check returns the servers, or an error if the flags are not valid.
func (f *operatorFlags) check() ([]string, error) {
	if f.json {
		f.output = "json"
	}
	if f.output != "text" && f.output != "json" {
		return nil, errors.Newf("--output %s: expected text or json", f.output)
	}
	servers := (&remoteFlags{servers: f.servers}).allServers()
	if len(servers) == 0 {
		return nil, errors.Newf("no server given: use --server URL or set %s", envServers)
	}
	return servers, nil
}

// explainOptions holds the flags of the explain command.
type explainOptions struct {
	operatorFlags
	id, queue, team string
	key, keyFile    string // for an instance of dev or serve
}

func explainCommand() command {
	o := explainOptions{operatorFlags: operatorFlags{output: "text"}}
	var files []string
	sub := subcommand("explain", "Tell where the tasks of a job would go now and why, without submitting it: explain FILE, explain - or explain --id ID")
	o.register(sub)
	sub.String(&o.id, "", "id", "id of a job that was accepted; of a request or job on an instance of dev or serve")
	sub.String(&o.queue, "q", "queue", "queue, in place of that in FILE")
	sub.String(&o.team, "", "team", "team that submits the job, in place of that in FILE")
	sub.String(&o.key, "k", "key", "for an instance of dev or serve: secret of the caller's key; $"+envKey+" by default")
	sub.String(&o.keyFile, "", "key-file", "file that holds the secret; $"+envKeyFile+" by default")
	return command{sub: sub, args: &files, run: func(ctx context.Context, out, errOut io.Writer) int {
		return runExplain(ctx, &o, files, os.Stdin, out, errOut)
	}}
}

func runExplain(ctx context.Context, o *explainOptions, files []string, in io.Reader, out, errOut io.Writer) int {
	servers, err := o.check()
	switch {
	case err != nil:
		return usageError(errOut, "explain", err)
	case o.id != "" && (len(files) > 0 || o.queue != "" || o.team != ""):
		return usageError(errOut, "explain", errors.New("give a file, or --id alone"))
	case o.id == "" && len(files) != 1:
		return usageError(errOut, "explain", errors.New("give one file, - for standard input, or --id ID"))
	}
	method, path, name := http.MethodGet, "/explain?id="+url.QueryEscape(o.id), ""
	var body []byte
	if o.id == "" {
		name = files[0]
		if body, err = readInput(name, in); err != nil {
			return usageError(errOut, "explain", err)
		}
		method, path = http.MethodPost, "/explain?"+url.Values{"queue": {o.queue}, "team": {o.team}}.Encode()
	}
	data, code := ask(ctx, "explain", servers, method, path, name, body, errOut)
	switch {
	case code == exitNoExplanations && o.id != "":
		return explainOnCell(ctx, o, servers, out, errOut)
	case code == exitNoExplanations:
		return refuseOnCell("explain", "they explain what they have accepted: use explain --id ID", errOut)
	case code != ExitDone:
		return code
	}
	var x engine.Explanation
	return printReply("explain", data, &x, o.output, func() { printExplanation(out, &x) }, out, errOut)
}

func runtimesCommand() command {
	f := operatorFlags{output: "text"}
	sub := subcommand("runtimes", "Print what the leader has learned of run times and of the speed of the workers.")
	f.register(sub)
	return command{sub: sub, run: func(ctx context.Context, out, errOut io.Writer) int {
		servers, err := f.check()
		if err != nil {
			return usageError(errOut, "runtimes", err)
		}
		data, code := ask(ctx, "runtimes", servers, http.MethodGet, "/runtimes", "", nil, errOut)
		switch {
		case code == exitNoExplanations:
			return refuseOnCell("runtimes", "they learn no run times", errOut)
		case code != ExitDone:
			return code
		}
		var x engine.RuntimeSummary
		return printReply("runtimes", data, &x, f.output, func() { printRuntimes(out, &x) }, out, errOut)
	}}
}

// maxInputBytes is the size from which an instance refuses a job.
const maxInputBytes = 1 << 20

// readInput reads the file of the given name, or in if that is "-".
func readInput(name string, in io.Reader) ([]byte, error) {
	if name != "-" {
		file, err := os.Open(name)
		if err != nil {
			return nil, errors.Wrap(err, "read the job")
		}
		defer func() { _ = file.Close() }() // only read
		in = file
	}
	data, err := io.ReadAll(io.LimitReader(in, maxInputBytes+1))
	if err == nil && len(data) > maxInputBytes {
		err = errors.Newf("more than %d bytes", maxInputBytes)
	}
	return data, errors.Wrap(err, "read the job")
}

// askTimeout bounds a request to an instance, which answers within 3 s.
const askTimeout = 5 * time.Second

// exitNoExplanations stands for the exit code of ask if the server is one of dev or serve.
const exitNoExplanations = -1

// refuseOnCell prints that a server of dev or serve has no such answer, and what it has instead.
// It returns the exit code.
func refuseOnCell(name, instead string, errOut io.Writer) int {
	fmt.Fprintf(errOut, "%s: the instances of dev and serve have no such answer; %s\n", name, instead)
	return ExitNotRun
}

// ask sends a request to the servers in turn until one answers, and returns the answer and the exit code. The requests
// have no effect, so each may be repeated. It prints errors; input is the name of the file that the body was read from.
func ask(ctx context.Context, name string, servers []string, method, path, input string, body []byte, errOut io.Writer) ([]byte, int) {
	for _, server := range servers {
		status, data, err := askOne(ctx, method, strings.TrimRight(server, "/")+path, body)
		if err == nil && status == http.StatusOK {
			return data, ExitDone
		}
		if err == nil && noExplanations(status, data) {
			return nil, exitNoExplanations
		}
		message, code := "", ExitNotRun
		switch {
		case err != nil:
			message = err.Error()
		case status == http.StatusBadRequest || status == http.StatusRequestEntityTooLarge:
			message, code = refusalText(input, status, data), ExitUsage
		default:
			message = refusalText("", status, data)
		}
		fmt.Fprintf(errOut, "%s: %s\n", name, message)
		if code == ExitUsage || status == http.StatusNotFound {
			return nil, code
		}
	}
	return nil, ExitNotRun
}

func askOne(ctx context.Context, method, target string, body []byte) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return 0, nil, errors.Wrap(err, "make a request")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil, errors.Wrap(err, "send the request")
	}
	defer func() { _ = resp.Body.Close() }() // the body has been read or reading it has failed
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, data, errors.Wrap(err, "read the answer")
}

// refusalText returns the error in an answer, after the name of the input and the place in it, if known.
func refusalText(input string, status int, data []byte) string {
	var refusal struct {
		Error        string
		Line, Column int
	}
	if json.Unmarshal(data, &refusal) != nil || refusal.Error == "" {
		return fmt.Sprintf("unexpected answer with status %d; is this the address that serves the metrics of an instance on the users' platform?", status)
	}
	if refusal.Line > 0 {
		input = fmt.Sprintf("%s:%d:%d", input, refusal.Line, refusal.Column)
	}
	if input == "" {
		return refusal.Error
	}
	return input + ": " + refusal.Error
}

// printReply decodes data into x and prints it as JSON or by asText.
func printReply(name string, data []byte, x any, output string, asText func(), out, errOut io.Writer) int {
	if err := json.Unmarshal(data, x); err != nil {
		return fail(out, errOut, false, name, nil, errors.Wrap(err, "decode the answer"), ExitNotRun)
	}
	if output == "json" {
		_, _ = out.Write(data)
		return ExitDone
	}
	asText()
	return ExitDone
}
