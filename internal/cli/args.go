package cli

import (
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"
)

// commandLine is what the arguments after a command's name hold.
type commandLine struct {
	args    []string // that are no flags or values of flags
	help    bool
	version bool
	parsed  int // arguments before "--"
}

// find returns the command that args name and the arguments after its name. It
// returns a command without a subcommand if args name none.
func find(all []command, args []string) (command, []string) {
	var found command
	for len(args) > 0 {
		next, ok := named(all, args[0])
		if !ok {
			break
		}
		found, args, all = next, args[1:], next.commands
	}
	return found, args
}

func named(all []command, name string) (command, bool) {
	for _, c := range all {
		if c.sub.Name == name {
			return c, true
		}
	}
	return command{}, false
}

// scan checks that every flag in args is one of sub's and has a value if it
// needs one.
func scan(sub *flaggy.Subcommand, args []string) (commandLine, error) {
	line := commandLine{parsed: len(args)}
	for i := 0; i < len(args); i++ {
		arg := args[i]
		switch {
		case arg == "--":
			line.parsed = i
			line.args = append(line.args, args[i+1:]...)
			return line, nil
		case arg == "-h" || arg == "--help":
			line.help = true
		case sub == nil && arg == "--version":
			line.version = true
		case arg == "-" || !strings.HasPrefix(arg, "-"):
			line.args = append(line.args, arg)
		default:
			takesNext, err := checkFlag(sub, arg, i+1 < len(args))
			if err != nil {
				return line, err
			}
			if takesNext {
				i++
			}
		}
	}
	if sub == nil && len(line.args) > 0 {
		return line, errors.Newf("unknown command %q", line.args[0])
	}
	return line, nil
}

// checkFlag reports whether the flag's value is the next argument.
func checkFlag(sub *flaggy.Subcommand, arg string, more bool) (bool, error) {
	name, _, hasValue := strings.Cut(strings.TrimLeft(arg, "-"), "=")
	flag := flagOf(sub, name)
	if flag == nil {
		return false, errors.Newf("unknown flag %s", arg)
	}
	_, isBool := flag.AssignmentVar.(*bool)
	if hasValue || isBool {
		return false, nil
	}
	if !more {
		return false, errors.Newf("flag %s needs a value", arg)
	}
	return true, nil
}

func flagOf(sub *flaggy.Subcommand, name string) *flaggy.Flag {
	if sub == nil {
		return nil
	}
	for _, f := range sub.Flags {
		if f.HasName(name) {
			return f
		}
	}
	return nil
}
