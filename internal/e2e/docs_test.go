package e2e

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"go/parser"
	"go/token"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const root = "../.."

// block is a fenced block of a Markdown page.
type block struct {
	info  string // the text after the opening fence
	lines []string
}

var fence = regexp.MustCompile("^```(.*)$")

// blocks returns the fenced blocks of a page.
func blocks(t testing.TB, page string) []block {
	t.Helper()
	var all []block
	open := false
	for line := range strings.Lines(readPage(t, page)) {
		line = strings.TrimRight(line, "\n")
		m := fence.FindStringSubmatch(line)
		switch {
		case m != nil && !open:
			all, open = append(all, block{info: m[1]}), true
		case m != nil:
			open = false
		case open:
			last := &all[len(all)-1]
			last.lines = append(last.lines, line)
		}
	}
	require.False(t, open, "%s: a fenced block is not closed", page)
	return all
}

func readPage(t testing.TB, page string) string {
	t.Helper()
	data, err := os.ReadFile(filepath.Join(root, page))
	require.NoError(t, err)
	return string(data)
}

// docCommand is a command of a page and the outcome that the page states.
type docCommand struct {
	text             string
	exit             int
	contains         string
	untilInterrupted bool // whether it runs until interrupted
}

var (
	exitComment   = regexp.MustCompile(`  # exit (\d+)$`)
	outputComment = regexp.MustCompile(`  # -> (.+)$`)
)

const untilInterruptedComment = "  # runs until interrupted"

// commands returns the commands of the sh blocks of a page, with continuation lines
// joined.
func commands(t testing.TB, page string) []docCommand {
	t.Helper()
	var all []docCommand
	for _, b := range blocks(t, page) {
		if b.info != "sh" {
			continue
		}
		text := strings.ReplaceAll(strings.Join(b.lines, "\n"), "\\\n", "")
		for line := range strings.SplitSeq(text, "\n") {
			all = append(all, parseCommand(line))
		}
	}
	require.NotEmpty(t, all, page)
	return all
}

func parseCommand(line string) docCommand {
	c := docCommand{text: line}
	if m := exitComment.FindStringSubmatch(line); m != nil {
		_, _ = fmt.Sscan(m[1], &c.exit)
	}
	if m := outputComment.FindStringSubmatch(line); m != nil {
		c.contains = m[1]
	}
	c.text, c.untilInterrupted = strings.CutSuffix(c.text, untilInterruptedComment)
	c.text = outputComment.ReplaceAllString(exitComment.ReplaceAllString(c.text, ""), "")
	return c
}

// session is a shell that runs the commands of a page in sequence.
type session struct {
	t       testing.TB
	dir     string
	in      io.Writer
	out     *bufio.Scanner
	address *strings.Replacer // from the page's addresses to the cell's
	after   func()            // called after each command
}

// newSession starts a shell in a new folder that links to the examples and testdata. In
// this shell, pollenbend runs the test binary.
func newSession(t *testing.T) *session {
	t.Helper()
	dir := t.TempDir()
	for _, name := range []string{"examples", "testdata"} {
		target, err := filepath.Abs(filepath.Join(root, name))
		require.NoError(t, err)
		require.NoError(t, os.Symlink(target, filepath.Join(dir, name)))
	}
	bin := t.TempDir()
	self, err := filepath.Abs(os.Args[0])
	require.NoError(t, err)
	script := fmt.Sprintf("#!/bin/sh\n%s=1 exec %q \"$@\"\n", commandEnv, self)
	require.NoError(t, os.WriteFile(filepath.Join(bin, "pollenbend"), []byte(script), 0o700))
	shell := exec.Command("bash")
	shell.Dir = dir
	shell.Env = append(os.Environ(), "PATH="+bin+":"+os.Getenv("PATH"))
	in, err := shell.StdinPipe()
	require.NoError(t, err)
	out, err := shell.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, shell.Start())
	t.Cleanup(func() {
		_ = in.Close()
		_ = shell.Wait()
	})
	return &session{t: t, dir: dir, in: in, out: bufio.NewScanner(out), address: strings.NewReplacer(), after: func() {}}
}

// run runs one command and checks its exit code and output.
func (s *session) run(c docCommand) {
	s.t.Helper()
	const end = "end of command, exit "
	_, err := fmt.Fprintf(s.in, "{ %s\n} 2>&1 </dev/null; code=$?; echo; echo \"%s$code\"\n", s.address.Replace(c.text), end)
	require.NoError(s.t, err)
	var output bytes.Buffer
	for s.out.Scan() {
		line := s.out.Text()
		if code, ended := strings.CutPrefix(line, end); ended {
			require.Equal(s.t, fmt.Sprint(c.exit), code, "%s\n%s", c.text, output.String())
			require.Contains(s.t, output.String(), c.contains, c.text)
			return
		}
		output.WriteString(line + "\n")
	}
	require.Fail(s.t, "the shell exited", c.text)
}

// runsInCI reports whether CI itself runs a command. A test can't run such a command,
// because CI runs the test.
func runsInCI(t testing.TB, text string) bool {
	t.Helper()
	const script = "scripts/test.sh"
	return text == "bash "+script || strings.Contains(readPage(t, script), "\n"+text+"\n")
}

// runPage writes the named toml blocks of a page to files, then runs every command of
// the page. It passes commands that run until interrupted to start.
func (s *session) runPage(page string, start func(command string)) {
	s.t.Helper()
	for _, b := range blocks(s.t, page) {
		if name, named := strings.CutPrefix(b.info, "toml "); named {
			path := filepath.Join(s.dir, name)
			require.NoError(s.t, os.MkdirAll(filepath.Dir(path), 0o700))
			require.NoError(s.t, os.WriteFile(path, []byte(strings.Join(b.lines, "\n")+"\n"), 0o600))
		}
	}
	for _, c := range commands(s.t, page) {
		if runsInCI(s.t, c.text) {
			continue
		}
		c.text = strings.ReplaceAll(c.text, "go run ./cmd/pollenbend", "pollenbend")
		if c.untilInterrupted {
			start(c.text)
			continue
		}
		s.run(c)
		s.after()
	}
}

// startDev runs the dev command of a page. It replaces the page's address by the last
// one that the command prints until it is running.
func (s *session) startDev(command string) {
	s.t.Helper()
	require.Equal(s.t, "pollenbend dev", command)
	cmd := exec.Command(os.Args[0], "dev")
	cmd.Env = append(os.Environ(), commandEnv+"=1")
	out, err := cmd.StdoutPipe()
	require.NoError(s.t, err)
	require.NoError(s.t, cmd.Start())
	s.t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	})
	address := regexp.MustCompile(`127\.0\.0\.1:\d+`)
	for lines := bufio.NewScanner(out); lines.Scan(); {
		if found := address.FindString(lines.Text()); found != "" {
			s.address = strings.NewReplacer("127.0.0.1:PORT", found)
		}
		if lines.Text() == "running until interrupted" {
			return
		}
	}
	require.Fail(s.t, "the dev command exited")
}

func TestDocsCommandsOfReadme(t *testing.T) {
	s := newSession(t)
	s.runPage("README.md", s.startDev)
}

func TestDocsCommandsOfCLI(t *testing.T) {
	s := newSession(t)
	s.runPage("docs/CLI.md", s.startDev)
}

func TestDocsCommandsOfOperating(t *testing.T) {
	c := startCell(t, "guild", 3)
	s := newSession(t)
	for id := range c.http {
		require.NoError(t, os.Symlink(filepath.Join(c.dir, id+".toml"), filepath.Join(s.dir, id+".toml")))
	}
	s.address = strings.NewReplacer(
		"http://10.0.1.11:8080", c.http["entry-1"],
		"http://10.0.2.11:8080", c.http["entry-2"],
		"http://10.0.3.11:8080", c.http["entry-3"])
	s.after = func() {
		if key, err := os.ReadFile(filepath.Join(s.dir, "root.key")); err == nil {
			c.awaitSameVersion(strings.TrimSpace(string(key)))
		}
	}
	s.runPage("docs/OPERATING.md", c.startFromPage)
	res, err := http.Get(c.http["entry-1"] + "/metrics")
	require.NoError(t, err)
	defer res.Body.Close()
	metrics, err := io.ReadAll(res.Body)
	require.NoError(t, err)
	for _, name := range regexp.MustCompile(`pollenbend_[a-z_]+`).FindAllString(readPage(t, "docs/OPERATING.md"), -1) {
		require.Contains(t, "\n"+string(metrics), "\n# TYPE "+name+" ")
	}
}

// startFromPage checks that an instance runs with the command of a page, after starting
// it if it isn't reachable, and waits until it is ready.
func (c *cell) startFromPage(command string) {
	c.t.Helper()
	args := strings.Fields(command)[1:]
	id := strings.TrimSuffix(args[len(args)-1], ".toml")
	require.Contains(c.t, c.http, id)
	if !reachable(c.http[id] + "/healthz") {
		c.serve(id)
	}
	running := slices.Clone(c.procs[id].Args[1:])
	running[len(running)-1] = filepath.Base(running[len(running)-1])
	require.Equal(c.t, args, running, "the instance must run with the command of the page")
	c.awaitReady(id)
}

// awaitSameVersion waits until all ready instances have the same version of the
// configuration. The key belongs to an operator.
func (c *cell) awaitSameVersion(key string) {
	c.t.Helper()
	c.await("the same configuration at all ready instances", func() bool {
		versions := map[uint64]bool{}
		for id, url := range c.http {
			if !reachable(url + "/readyz") {
				continue
			}
			answer, err := c.client(key, id).Config(context.Background())
			if err != nil {
				return false
			}
			versions[answer.Version] = true
		}
		return len(versions) == 1
	})
}

var (
	link    = regexp.MustCompile(`\]\(([^)\s]+)\)`)
	heading = regexp.MustCompile(`(?m)^#+ (.+)$`)
	notSlug = regexp.MustCompile(`[^a-z0-9 -]`)
)

// pages lists the pages, as paths from the root.
func pages(t *testing.T) []string {
	t.Helper()
	list := []string{"README.md", "CONTRIBUTING.md"}
	for _, pattern := range []string{"docs/*.md", "docs/design/*.md", "examples/*/README.md"} {
		found, err := filepath.Glob(filepath.Join(root, pattern))
		require.NoError(t, err)
		for _, path := range found {
			list = append(list, strings.TrimPrefix(path, root+"/"))
		}
	}
	return list
}

func TestDocsLinksResolve(t *testing.T) {
	for _, page := range pages(t) {
		for _, m := range link.FindAllStringSubmatch(readPage(t, page), -1) {
			if strings.Contains(m[1], "://") {
				continue
			}
			path, fragment, _ := strings.Cut(m[1], "#")
			target := page
			if path != "" {
				target = filepath.Join(filepath.Dir(page), path)
			}
			_, err := os.Stat(filepath.Join(root, target))
			require.NoError(t, err, "%s links to %s", page, m[1])
			if fragment != "" {
				require.Contains(t, slugs(t, target), fragment, "%s links to %s", page, m[1])
			}
		}
	}
}

// slugs returns the anchors of a page's headings.
func slugs(t testing.TB, page string) []string {
	t.Helper()
	var list []string
	for _, m := range heading.FindAllStringSubmatch(readPage(t, page), -1) {
		slug := notSlug.ReplaceAllString(strings.ToLower(m[1]), "")
		list = append(list, strings.ReplaceAll(slug, " ", "-"))
	}
	return list
}

// packages returns the folders that hold Go files, as paths from the root.
func packages(t *testing.T) []string {
	t.Helper()
	var dirs []string
	for _, top := range []string{"cmd", "examples", "internal"} {
		err := filepath.WalkDir(filepath.Join(root, top), func(path string, _ os.DirEntry, err error) error {
			dir := strings.TrimPrefix(filepath.Dir(path), root+"/")
			if strings.HasSuffix(path, ".go") && !slices.Contains(dirs, dir) {
				dirs = append(dirs, dir)
			}
			return err
		})
		require.NoError(t, err)
	}
	return dirs
}

func TestDocsEveryPackageHasAComment(t *testing.T) {
	for _, dir := range packages(t) {
		files, err := filepath.Glob(filepath.Join(root, dir, "*.go"))
		require.NoError(t, err)
		documented := slices.ContainsFunc(files, func(path string) bool {
			f, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.PackageClauseOnly|parser.ParseComments)
			require.NoError(t, err)
			return f.Doc != nil
		})
		require.True(t, documented, "%s has no package comment", dir)
	}
}

func TestDocsArchitectureNamesEveryFolder(t *testing.T) {
	page := readPage(t, "docs/ARCHITECTURE.md")
	folders, err := filepath.Glob(filepath.Join(root, "internal", "*"))
	require.NoError(t, err)
	for _, folder := range folders {
		require.Contains(t, page, "| `internal/"+filepath.Base(folder)+"` |")
	}
	for _, m := range regexp.MustCompile("`(internal/[a-z0-9/]+|cmd/[a-z]+)`").FindAllStringSubmatch(page, -1) {
		require.DirExists(t, filepath.Join(root, m[1]))
	}
}

// TestDocsArchitectureListsUncalledPackages checks that the page lists exactly those
// packages of the scheduler that the binary does not depend on.
func TestDocsArchitectureListsUncalledPackages(t *testing.T) {
	list := exec.Command("go", "list", "-deps", "./cmd/pollenbend")
	list.Dir = root
	deps, err := list.Output()
	require.NoError(t, err)
	_, listed, _ := strings.Cut(readPage(t, "docs/ARCHITECTURE.md"), "not yet called by an instance:")
	listed, _, _ = strings.Cut(listed, "\n\n")
	for _, dir := range packages(t) {
		if strings.HasPrefix(dir, "internal/scheduler/") {
			called := strings.Contains(string(deps), "pollenbend/"+dir+"\n")
			require.Equal(t, !called, strings.Contains(listed, "`"+dir+"`"), dir)
		}
	}
}

// TestDocsReadmeNamesTests checks that each test named in the README exists.
func TestDocsReadmeNamesTests(t *testing.T) {
	var code strings.Builder
	for _, dir := range packages(t) {
		files, err := filepath.Glob(filepath.Join(root, dir, "*_test.go"))
		require.NoError(t, err)
		for _, path := range files {
			code.WriteString(readPage(t, strings.TrimPrefix(path, root+"/")))
		}
	}
	for _, name := range regexp.MustCompile("`(Test[A-Za-z]+)`").FindAllStringSubmatch(readPage(t, "README.md"), -1) {
		require.Contains(t, code.String(), "\nfunc "+name[1]+"(", name[1])
	}
}
