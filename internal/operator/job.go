package operator

import (
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"

	"github.com/urfave/cli/v3"

	"rosemarywind.example/rosemarywind/pkg/client"
)

func submitCommand() *cli.Command {
	return remoteCommand("submit", "submit a job", "", submit,
		&cli.StringFlag{Name: "workspace", Usage: "workspace of the job"},
		&cli.IntFlag{Name: "members", Value: 1, Usage: "members of the gang"},
		&cli.IntFlag{Name: "accelerators", Value: 1, Usage: "accelerators of each member"},
		&cli.StringFlag{Name: "adjacency", Value: "any", Usage: "worker, rack, availability-zone or any"},
		&cli.BoolFlag{Name: "urgent", Usage: "start before patient work"},
		&cli.BoolFlag{Name: "idempotent", Usage: "the job may run more than once"},
		&cli.BoolFlag{Name: "checkpointable", Usage: "its tasks can be checkpointed"},
		&cli.BoolFlag{Name: "throttleable", Usage: "its tasks can be throttled until they hold no accelerator"},
		&cli.DurationFlag{Name: "run-time", Usage: "expected run time"},
		&cli.StringFlag{Name: "payload", Usage: "what the tasks are told to do"},
		&cli.StringFlag{Name: "payload-file", Usage: "file with the payload", TakesFile: true},
		newRequestIDFlag())
}

func cancelCommand() *cli.Command {
	return remoteCommand("cancel", "cancel a job", "JOB", cancel, newRequestIDFlag())
}

func explainCommand() *cli.Command {
	return remoteCommand("explain", "say why a job is in its state", "JOB", explain)
}

func submit(s *session) (err error) {
	if err = s.noArguments(); err != nil {
		return err
	}
	workspace := s.cmd.String("workspace")
	if workspace == "" {
		return usageError("--workspace is required")
	}
	options, err := s.submitOptions()
	if err != nil {
		return err
	}
	job := client.NewSubmission(workspace, s.cmd.Int("members"), s.cmd.Int("accelerators"), s.cmd.String("adjacency"), options...)
	j, err := s.client.Submit(s.ctx, job, s.cmd.String(requestIDFlag))
	if err != nil {
		return err
	}
	return s.print(j, func(w io.Writer) { _, _ = fmt.Fprintln(w, sanitize(j.ID())) })
}

func (s *session) submitOptions() (list []client.SubmitOption, err error) {
	if s.cmd.Bool("urgent") {
		list = append(list, client.WithUrgent())
	}
	if s.cmd.Bool("idempotent") {
		list = append(list, client.WithIdempotent())
	}
	if s.cmd.Bool("checkpointable") {
		list = append(list, client.WithCheckpointable())
	}
	if s.cmd.Bool("throttleable") {
		list = append(list, client.WithThrottleable())
	}
	payload, file := s.cmd.String("payload"), s.cmd.String("payload-file")
	if payload != "" && file != "" {
		return nil, usageError("give either --payload or --payload-file")
	}
	if file != "" {
		data, err := os.ReadFile(file)
		if err != nil {
			return nil, &exitError{code: ExitUsage, cause: fmt.Errorf("read payload: %w", err)}
		}
		payload = string(data)
	}
	return append(list, client.WithRunTime(s.cmd.Duration("run-time")), client.WithPayload(payload)), nil
}

func cancel(s *session) (err error) {
	id, err := s.argument("JOB")
	if err != nil {
		return err
	}
	j, err := s.client.Cancel(s.ctx, id, s.cmd.String(requestIDFlag))
	if err != nil {
		return err
	}
	return s.print(j, func(w io.Writer) { writeTable(w, jobRows(j)) })
}

func explain(s *session) (err error) {
	id, err := s.argument("JOB")
	if err != nil {
		return err
	}
	e, err := s.client.Explain(s.ctx, id)
	if err != nil {
		return err
	}
	return s.print(e, func(w io.Writer) {
		_, _ = fmt.Fprintln(w, sanitizeLines(e.Text()))
	})
}

func jobRows(jobs ...client.Job) (rows [][]string) {
	rows = [][]string{{"JOB", "WORKSPACE", "STATE", "RESULT", "URGENCY", "SHAPE", "ATTEMPTS", "WORKERS", "REASON"}}
	for _, j := range jobs {
		rows = append(rows, []string{
			j.ID(), j.Workspace(), j.State(), j.Result(), j.Urgency(), j.Shape(),
			strconv.Itoa(j.Attempts()), strings.Join(j.Workers(), ","), j.Reason(),
		})
	}
	return rows
}
