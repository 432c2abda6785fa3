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

// revisionPrefix starts the first line of a declaration that "status --config" printed.
const revisionPrefix = "# revision "

func applyCommand() *cli.Command {
	return remoteCommand("apply", "put a declaration in force", "FILE", apply, newBaseFlag(), newRequestIDFlag())
}

func diffCommand() *cli.Command {
	return remoteCommand("diff", "show what apply would change", "FILE", diff, newBaseFlag())
}

func apply(s *session) (err error) {
	text, err := s.readDeclaration()
	if err != nil {
		return err
	}
	revision, ok := s.baseRevision(text)
	if !ok {
		return usageError("--%s REVISION or a first line %q is required, so that a change of someone else is not undone", baseFlag, revisionPrefix+"N")
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
	text, err := s.readDeclaration()
	if err != nil {
		return err
	}
	revision, ok := s.baseRevision(text)
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
		err = &exitError{code: ExitConflict, cause: fmt.Errorf("the base is revision %d, the present one is %d", revision, a.Revision())}
	}
	return err
}

// readDeclaration returns the text of the file, which it checks so that an invalid text is not sent.
func (s *session) readDeclaration() (text []byte, err error) {
	file, err := s.argument("FILE")
	if err != nil {
		return nil, err
	}
	if text, err = os.ReadFile(file); err != nil {
		return nil, &exitError{code: ExitUsage, cause: fmt.Errorf("read declaration: %w", err)}
	}
	_, err = declaration.Parse(file, text)
	return text, err
}

// baseRevision returns the revision that the declaration is based on: the flag, else the first line of the text.
func (s *session) baseRevision(text []byte) (revision uint64, ok bool) {
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
		_, _ = fmt.Fprintln(w, sanitize(c))
	}
}
