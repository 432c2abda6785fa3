package operator

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"

	"github.com/urfave/cli/v3"

	"rosemarywind.example/rosemarywind/internal/declaration"
	"rosemarywind.example/rosemarywind/internal/document"
	"rosemarywind.example/rosemarywind/internal/inspection"
	"rosemarywind.example/rosemarywind/internal/workspace"
	"rosemarywind.example/rosemarywind/pkg/client"
)

// Names of the flags of check.
const (
	offlineFlag      = "offline"
	acceleratorsFlag = "accelerators"
)

func checkCommand() *cli.Command {
	c := remoteCommand("check", "find errors, entries without effect, contradictions and differences before apply", "FILE", checkOnline,
		newBaseFlag(),
		&cli.BoolFlag{Name: offlineFlag, Usage: "ask no control host; differences and what depends on the workers are not checked"},
		&cli.IntFlag{Name: acceleratorsFlag, Usage: "number of accelerators that the workers have, in place of those that are announced"})
	online := c.Action
	c.Action = func(ctx context.Context, c *cli.Command) error {
		if !c.Bool(offlineFlag) {
			return online(ctx, c)
		}
		return checkOffline(&session{ctx: ctx, cmd: c, out: c.Root().Writer})
	}
	return c
}

func checkOffline(s *session) (err error) {
	_, c, findings, err := s.parseChecked()
	if err != nil {
		return err
	}
	if c != nil {
		findings = append(findings, inspection.CheckConfig(c, nil, inspection.NewFleet(s.cmd.Int(acceleratorsFlag), 0))...)
	}
	return s.printFindings(findings)
}

func checkOnline(s *session) (err error) {
	text, c, findings, err := s.parseChecked()
	if err != nil {
		return err
	}
	if c == nil {
		return s.printFindings(findings)
	}
	inForce, err := s.configInForce()
	if err != nil {
		return err
	}
	fleet, err := s.announcedFleet()
	if err != nil {
		return err
	}
	if base, ok := s.baseRevision(text); ok {
		findings = append(findings, inspection.CheckRevision(base, inForce)...)
	}
	refusals, err := s.dryRun(text, inForce.Revision())
	if err != nil {
		return err
	}
	findings = append(findings, refusals...)
	return s.printFindings(append(findings, inspection.CheckConfig(c, inForce, fleet)...))
}

// parseChecked returns the text of the file and its configuration, which is nil if the findings say why it cannot be
// parsed.
func (s *session) parseChecked() (text []byte, c *workspace.Config, findings []inspection.Finding, err error) {
	file, err := s.argument("FILE")
	if err != nil {
		return nil, nil, nil, err
	}
	if text, err = os.ReadFile(file); err != nil {
		return nil, nil, nil, &exitError{code: ExitUsage, cause: fmt.Errorf("read declaration: %w", err)}
	}
	c, err = declaration.Parse(file, text)
	var problems *document.Problems
	if errors.As(err, &problems) {
		for _, p := range problems.List() {
			findings = append(findings, inspection.NewFinding(inspection.Error, inspection.NewKey(p.Line(), p.Key()), p.Message()))
		}
		return text, nil, findings, nil
	}
	return text, c, nil, err
}

// configInForce returns the configuration in force with its revision.
func (s *session) configInForce() (c *workspace.Config, err error) {
	reported, err := s.client.Config(s.ctx)
	if err != nil {
		return nil, err
	}
	c, err = declaration.Parse("configuration in force", []byte(reported.Text()))
	if err != nil {
		return nil, err
	}
	return c.WithRevision(reported.Revision()), nil
}

// announcedFleet returns the endpoints that the control host knows, with the accelerators of their workers.
func (s *session) announcedFleet() (f inspection.Fleet, err error) {
	endpoints, err := s.client.Endpoints(s.ctx)
	if err != nil {
		return f, err
	}
	accelerators, slots := 0, 0
	names := make([]string, len(endpoints))
	for i, e := range endpoints {
		accelerators, slots, names[i] = accelerators+e.Accelerators(), slots+e.Slots(), e.Name()
	}
	f = inspection.NewFleet(accelerators, slots, names...)
	if s.cmd.IsSet(acceleratorsFlag) {
		f = f.WithAccelerators(s.cmd.Int(acceleratorsFlag))
	}
	return f, nil
}

// dryRun returns a finding if the control host would refuse the declaration, for example because its guarantees cannot
// be placed on the workers at the same time.
func (s *session) dryRun(text []byte, revision uint64) (findings []inspection.Finding, err error) {
	_, err = s.client.DryApply(s.ctx, text, revision)
	var refusal *client.Refusal
	if errors.As(err, &refusal) && refusal.Status() == http.StatusBadRequest {
		return []inspection.Finding{inspection.NewFinding(inspection.Error, inspection.NewKey(0, ""), refusal.Message())}, nil
	}
	var unknown *client.Unknown
	if errors.As(err, &unknown) {
		// A dry run has no effect, so an answer that is missing leaves nothing to find out.
		err = &exitError{code: ExitFailed, cause: fmt.Errorf("dry run: %w", unknown.Unwrap())}
	}
	return nil, err
}

// printFindings prints findings and returns an error that determines the exit code if there are any.
func (s *session) printFindings(findings []inspection.Finding) (err error) {
	if err = WriteFindings(s.out, findings, nil, s.cmd.Bool(jsonFlag)); err != nil {
		return err
	}
	return FindingsError(findings)
}
