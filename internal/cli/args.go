package cli

import (
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"
)

// commandLine holds the parsed arguments after a command's name.
type commandLine struct {
	args    []string // positional arguments
	help    bool
	version bool
	parsed  []string // the arguments before "--", without "-", which flaggy takes for a flag without a name
}

// findCommand returns the command that args name and the arguments after its name.
// The command's sub is nil if args name none.
func findCommand(all []command, args []string) (command, []string) {
	var found command
	for len(args) > 0 {
		next, ok := commandByName(all, args[0])
		if !ok {
			break
		}
		found, args, all = next, args[1:], next.commands
	}
	return found, args
}

func commandByName(all []command, name string) (command, bool) {
	for _, c := range all {
		if c.sub.Name == name {
			return c, true
		}
	}
	return command{}, false
}

// scanArgs collects the positional arguments in args and whether they ask for help
// or the version. It checks that every flag is a flag of sub and has a value if it
// needs one. sub is nil if no command is named.
func scanArgs(sub *flaggy.Subcommand, args []string) (commandLine, error) {
	var line commandLine
	for i := 0; i < len(args); i++ {
		arg := args[i]
		switch {
		case arg == "--":
			line.args = append(line.args, args[i+1:]...)
			return line, nil
		case arg == "-":
			line.args = append(line.args, arg)
			continue
		case arg == "-h" || arg == "--help":
			line.help = true
		case sub == nil && arg == "--version":
			line.version = true
		case !strings.HasPrefix(arg, "-"):
			line.args = append(line.args, arg)
		default:
			takesNext, err := checkFlag(sub, arg, i+1 < len(args))
			if err != nil {
				return line, err
			}
			if takesNext {
				line.parsed = append(line.parsed, arg)
				i++
			}
		}
		line.parsed = append(line.parsed, args[i])
	}
	if sub == nil && len(line.args) > 0 {
		return line, errors.Newf("unknown command %q", line.args[0])
	}
	return line, nil
}

// checkFlag checks one flag and reports whether its value is the next argument.
func checkFlag(sub *flaggy.Subcommand, arg string, hasNext bool) (bool, error) {
	name, _, hasValue := strings.Cut(strings.TrimLeft(arg, "-"), "=")
	flag := findFlag(sub, name)
	if flag == nil {
		return false, errors.Newf("unknown flag %s", arg)
	}
	_, isBool := flag.AssignmentVar.(*bool)
	if hasValue || isBool {
		return false, nil
	}
	if !hasNext {
		return false, errors.Newf("flag %s needs a value", arg)
	}
	return true, nil
}

func findFlag(sub *flaggy.Subcommand, name string) *flaggy.Flag {
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
