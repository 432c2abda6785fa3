package operator

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"strconv"

	"github.com/urfave/cli/v3"

	"rosemarywind.example/rosemarywind/internal/declaration"
	"rosemarywind.example/rosemarywind/pkg/client"
)

// revisionPrefix starts the first line of a declaration that status --config printed.
const revisionPrefix = "# revision "

func applyCommand() *cli.Command {
	return remote("apply", "put a declaration in force", "FILE", apply, base(), requestID())
}

func diffCommand() *cli.Command {
	return remote("diff", "show what apply would change", "FILE", diff, base())
}

func apply(s *session) (err error) {
	text, err := s.declaration()
	if err != nil {
		return err
	}
	revision, ok := s.base(text)
	if !ok {
		return usage("--%s REVISION or a first line %q is required, so that a change of someone else is not undone", baseFlag, revisionPrefix+"N")
	}
	a, err := s.client.Apply(s.ctx, text, revision, s.cmd.String(requestIDFlag))
	if err != nil {
		return err
	}
	return s.print(a, func(w io.Writer) {
		printChanges(w, a)
		note := ""
		if a.Repeated() {
			note = " (already accepted before)"
		}
		_, _ = fmt.Fprintf(w, "in force at revision %d%s\n", a.Revision(), note)
	})
}

func diff(s *session) (err error) {
	text, err := s.declaration()
	if err != nil {
		return err
	}
	revision, ok := s.base(text)
	if !ok {
		c, err := s.client.Config(s.ctx)
		if err != nil {
			return err
		}
		revision = c.Revision()
	}
	a, err := s.client.DryApply(s.ctx, text, revision)
	if err != nil {
		return err
	}
	err = s.print(a, func(w io.Writer) {
		printChanges(w, a)
		_, _ = fmt.Fprintf(w, "%d changes to revision %d\n", len(a.Changes()), a.Revision())
	})
	if err == nil && a.Revision() != revision {
		err = &failure{code: ExitConflict, cause: fmt.Errorf("the base is revision %d, the present one is %d", revision, a.Revision())}
	}
	return err
}

// declaration returns the text of the file, refused here already when it is bad.
func (s *session) declaration() (text []byte, err error) {
	file, err := s.argument("FILE")
	if err != nil {
		return nil, err
	}
	if text, err = os.ReadFile(file); err != nil {
		return nil, &failure{code: ExitUsage, cause: fmt.Errorf("read declaration: %w", err)}
	}
	_, err = declaration.Parse(file, text)
	return text, err
}

// base returns the revision that the declaration was made from, by the flag or by its first line.
func (s *session) base(text []byte) (revision uint64, ok bool) {
	if s.cmd.IsSet(baseFlag) {
		return s.cmd.Uint64(baseFlag), true
	}
	line, _, _ := bytes.Cut(text, []byte("\n"))
	number, ok := bytes.CutPrefix(bytes.TrimSpace(line), []byte(revisionPrefix))
	if !ok {
		return 0, false
	}
	revision, err := strconv.ParseUint(string(number), 10, 64)
	return revision, err == nil
}

func printChanges(w io.Writer, a client.Applied) {
	for _, c := range a.Changes() {
		_, _ = fmt.Fprintln(w, plain(c))
	}
}
