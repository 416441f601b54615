package cli

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"github.com/cockroachdb/errors"

	"pollenbend/internal/declare"
	"pollenbend/internal/model"
)

func keysCommand() command {
	sub := subcommand("keys", "Draw, list and withdraw keys.")
	subcommands := []command{keysNewCommand(), keysListCommand(), keysWithdrawCommand()}
	for _, c := range subcommands {
		sub.AttachSubcommand(c.sub, 1)
	}
	return command{sub: sub, commands: subcommands}
}

// secretFileMode lets only the owner read a secret.
const secretFileMode = 0o600

// newKeyOptions holds the flags of the keys new command.
type newKeyOptions struct {
	remoteFlags
	team     string
	operator bool
	apply    bool
	file     string
}

func keysNewCommand() command {
	var o newKeyOptions
	var names []string
	sub := subcommand("new", "Draw a secret and print it once, with the key to declare: keys new NAME")
	o.register(sub)
	sub.String(&o.team, "", "team", "team that the key is for")
	sub.Bool(&o.operator, "", "operator", "make an operator's key")
	sub.Bool(&o.apply, "", "apply", "declare the key at once")
	sub.String(&o.file, "", "secret-file", "new file to write the secret to, in place of printing it")
	return command{sub: sub, args: &names, run: func(ctx context.Context, out, errOut io.Writer) int {
		return runKeysNew(ctx, &o, names, out, errOut)
	}}
}

// newKeyOutput is the JSON output of the keys new command.
type newKeyOutput struct {
	Secret string    `json:"secret,omitempty"`
	Key    model.Key `json:"key"`
}

func runKeysNew(ctx context.Context, o *newKeyOptions, names []string, out, errOut io.Writer) int {
	if len(names) != 1 {
		return usageError(errOut, "keys new", errors.New("give one name"))
	}
	if o.operator == (o.team != "") {
		return usageError(errOut, "keys new", errors.New("give --team TEAM or --operator"))
	}
	secret, hash, err := declare.NewSecret(rand.Reader)
	if err != nil {
		return fail(out, errOut, o.json, "keys new", nil, err, ExitNotRun)
	}
	key := model.Key{Name: names[0], Team: model.TeamID(o.team), Scope: model.ScopeTeam, SHA256: hash}
	if o.operator {
		key.Scope = model.ScopeOperator
	}
	if o.file != "" {
		if err := writeSecret(o.file, secret); err != nil {
			return usageError(errOut, "keys new", err)
		}
		secret = ""
	}
	if !o.apply {
		return printKey(out, o.json, secret, key)
	}
	change := model.Change{Put: model.Declarations{Keys: []model.Key{key}}}
	code := changeKeys(ctx, &o.remoteFlags, "keys new", change, errOut)
	// The key may be in force also if the answer was lost, and its secret cannot be
	// read from a server.
	if code == ExitDone || code == ExitMayHaveRun {
		printKey(out, o.json, secret, key)
	}
	return code
}

// writeSecret writes a secret to a new file that only its owner can read. It fails
// if the file exists.
func writeSecret(path, secret string) error {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, secretFileMode)
	if err != nil {
		return errors.Wrap(err, "write the secret")
	}
	_, err = fmt.Fprintln(f, secret)
	return errors.Wrap(errors.CombineErrors(err, f.Close()), "write the secret")
}

func printKey(out io.Writer, asJSON bool, secret string, key model.Key) int {
	if asJSON {
		printJSON(out, newKeyOutput{Secret: secret, Key: key})
		return ExitDone
	}
	block, err := declare.Marshal(model.Declarations{Keys: []model.Key{key}})
	if err != nil {
		fmt.Fprintln(out, err)
		return ExitNotRun
	}
	if secret != "" {
		fmt.Fprintf(out, "# secret, shown this once: %s\n", secret)
	}
	fmt.Fprintf(out, "%s", block)
	return ExitDone
}

// changeKeys applies a change to the configuration in force. It reports the result
// to errOut only, so that standard output contains nothing but the key.
func changeKeys(ctx context.Context, r *remoteFlags, name string, change model.Change, errOut io.Writer) int {
	c, err := r.client()
	if err != nil {
		return usageError(errOut, name, err)
	}
	current, err := fetchConfig(ctx, c)
	if err != nil {
		return fail(errOut, errOut, false, name, nil, err, ExitNotRun)
	}
	if err := checkKeys(current.declarations, change); err != nil {
		return usageError(errOut, name, err)
	}
	change.Base = current.version
	return sendChange(ctx, c, name, change, false, errOut, errOut)
}

// checkKeys returns an error if the change adds a key that is already declared or
// withdraws one that is not.
func checkKeys(d model.Declarations, change model.Change) error {
	declared := map[string]bool{}
	for _, k := range d.Keys {
		declared[k.Name] = true
	}
	for _, k := range change.Put.Keys {
		if declared[k.Name] {
			return errors.Newf("key %q is declared already", k.Name)
		}
	}
	for _, ref := range change.Delete {
		if !declared[ref.Name] {
			return errors.Newf("key %q is not declared", ref.Name)
		}
	}
	return nil
}

func keysListCommand() command {
	var r remoteFlags
	sub := subcommand("list", "List the keys in force.")
	r.register(sub)
	return command{sub: sub, run: func(ctx context.Context, out, errOut io.Writer) int {
		return runKeysList(ctx, &r, out, errOut)
	}}
}

func runKeysList(ctx context.Context, r *remoteFlags, out, errOut io.Writer) int {
	c, err := r.client()
	if err != nil {
		return usageError(errOut, "keys list", err)
	}
	current, err := fetchConfig(ctx, c)
	if err != nil {
		return fail(out, errOut, r.json, "keys list", nil, err, exitOfRead(err))
	}
	if r.json {
		printJSON(out, append([]model.Key{}, current.declarations.Keys...))
		return ExitDone
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "NAME\tSCOPE\tTEAM\tSHA256")
	for _, k := range current.declarations.Keys {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", k.Name, k.Scope, k.Team, k.SHA256)
	}
	_ = w.Flush()
	return ExitDone
}

func keysWithdrawCommand() command {
	var r remoteFlags
	var names []string
	sub := subcommand("withdraw", "Withdraw keys: keys withdraw NAME…")
	r.register(sub)
	return command{sub: sub, args: &names, run: func(ctx context.Context, out, errOut io.Writer) int {
		return runKeysWithdraw(ctx, &r, names, out, errOut)
	}}
}

func runKeysWithdraw(ctx context.Context, r *remoteFlags, names []string, out, errOut io.Writer) int {
	if len(names) == 0 {
		return usageError(errOut, "keys withdraw", errors.New("give a name"))
	}
	var change model.Change
	for _, name := range names {
		change.Delete = append(change.Delete, model.ObjectRef{Kind: model.ObjectKey, Name: name})
	}
	code := changeKeys(ctx, r, "keys withdraw", change, errOut)
	if code != ExitDone {
		return code
	}
	if r.json {
		printJSON(out, change.Delete)
	} else {
		fmt.Fprintf(out, "withdrawn: %v\n", names)
	}
	return ExitDone
}
