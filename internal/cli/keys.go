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
	children := []command{keysNewCommand(), keysListCommand(), keysWithdrawCommand()}
	for _, c := range children {
		sub.AttachSubcommand(c.sub, 1)
	}
	return command{sub: sub, commands: children}
}

const secretMode = 0o600

// newKeyOptions are the flags of the keys new command.
type newKeyOptions struct {
	remote
	team     string
	operator bool
	apply    bool
	file     string
}

func keysNewCommand() command {
	var o newKeyOptions
	var names []string
	sub := subcommand("new", "Draw a secret and print it once, with the key to declare: keys new NAME")
	o.flags(sub)
	sub.String(&o.team, "", "team", "team that the key is for")
	sub.Bool(&o.operator, "", "operator", "make an operator's key")
	sub.Bool(&o.apply, "", "apply", "declare the key at once")
	sub.String(&o.file, "", "secret-file", "new file to write the secret to, in place of printing it")
	return command{sub: sub, args: &names, run: func(ctx context.Context, out, errOut io.Writer) int {
		return runKeysNew(ctx, &o, names, out, errOut)
	}}
}

// newKey is the JSON output of the keys new command.
type newKey struct {
	Secret string    `json:"secret,omitempty"`
	Key    model.Key `json:"key"`
}

func runKeysNew(ctx context.Context, o *newKeyOptions, names []string, out, errOut io.Writer) int {
	if len(names) != 1 {
		return usage(errOut, "keys new", errors.New("give one name"))
	}
	if o.operator == (o.team != "") {
		return usage(errOut, "keys new", errors.New("give --team TEAM or --operator"))
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
			return usage(errOut, "keys new", err)
		}
		secret = ""
	}
	if !o.apply {
		return printKey(out, o.json, secret, key)
	}
	change := model.Change{Put: model.Declarations{Keys: []model.Key{key}}}
	code := changeKeys(ctx, &o.remote, "keys new", change, errOut)
	if code == ExitDone || code == ExitMayHaveRun {
		printKey(out, o.json, secret, key)
	}
	return code
}

// writeSecret writes a secret to a file that is not there yet and that only its
// owner can read.
func writeSecret(path, secret string) error {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, secretMode)
	if err != nil {
		return errors.Wrap(err, "write the secret")
	}
	_, err = fmt.Fprintln(f, secret)
	return errors.Wrap(errors.CombineErrors(err, f.Close()), "write the secret")
}

func printKey(out io.Writer, asJSON bool, secret string, key model.Key) int {
	if asJSON {
		printJSON(out, newKey{Secret: secret, Key: key})
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

// changeKeys applies a change to the configuration in force and reports it to
// errOut alone, so that standard output holds the key only.
func changeKeys(ctx context.Context, r *remote, name string, change model.Change, errOut io.Writer) int {
	c, err := r.client()
	if err != nil {
		return usage(errOut, name, err)
	}
	now, err := fetchConfig(ctx, c)
	if err != nil {
		return fail(errOut, errOut, false, name, nil, err, ExitNotRun)
	}
	if err := checkKeys(now.declarations, change); err != nil {
		return usage(errOut, name, err)
	}
	change.Base = now.version
	return sendChange(ctx, c, name, change, false, errOut, errOut)
}

// checkKeys reports a key that is made twice or withdrawn without being there.
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
	var r remote
	sub := subcommand("list", "List the keys in force.")
	r.flags(sub)
	return command{sub: sub, run: func(ctx context.Context, out, errOut io.Writer) int {
		return runKeysList(ctx, &r, out, errOut)
	}}
}

func runKeysList(ctx context.Context, r *remote, out, errOut io.Writer) int {
	c, err := r.client()
	if err != nil {
		return usage(errOut, "keys list", err)
	}
	now, err := fetchConfig(ctx, c)
	if err != nil {
		return fail(out, errOut, r.json, "keys list", nil, err, exitOfRead(err))
	}
	if r.json {
		printJSON(out, append([]model.Key{}, now.declarations.Keys...))
		return ExitDone
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "NAME\tSCOPE\tTEAM\tSHA256")
	for _, k := range now.declarations.Keys {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", k.Name, k.Scope, k.Team, k.SHA256)
	}
	_ = w.Flush()
	return ExitDone
}

func keysWithdrawCommand() command {
	var r remote
	var names []string
	sub := subcommand("withdraw", "Withdraw keys: keys withdraw NAME…")
	r.flags(sub)
	return command{sub: sub, args: &names, run: func(ctx context.Context, out, errOut io.Writer) int {
		return runKeysWithdraw(ctx, &r, names, out, errOut)
	}}
}

func runKeysWithdraw(ctx context.Context, r *remote, names []string, out, errOut io.Writer) int {
	if len(names) == 0 {
		return usage(errOut, "keys withdraw", errors.New("give a name"))
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
