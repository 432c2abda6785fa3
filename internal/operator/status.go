package operator

import (
	"fmt"
	"io"
	"strconv"

	"github.com/urfave/cli/v3"

	"rosemarywind.example/rosemarywind/pkg/client"
)

func statusCommand() *cli.Command {
	return remoteCommand("status", "show jobs, endpoints, evacuated zones, control hosts or the configuration", "[JOB]", status,
		&cli.BoolFlag{Name: "endpoints", Usage: "show the endpoints"},
		&cli.BoolFlag{Name: "zones", Usage: "show the evacuated availability zones"},
		&cli.BoolFlag{Name: "control", Usage: "show the control hosts, their votes and how many more of them may be lost"},
		&cli.BoolFlag{Name: "config", Usage: "show the configuration as a declaration with its revision"})
}

func drainCommand() *cli.Command {
	return remoteCommand("drain", "make an endpoint leave after its requests in flight", "ENDPOINT", drain,
		&cli.BoolFlag{Name: "undo", Usage: "let the endpoint take new work again"}, newRequestIDFlag())
}

func status(s *session) (err error) {
	given := 0
	endpoints, control, config, zones := s.cmd.Bool("endpoints"), s.cmd.Bool("control"), s.cmd.Bool("config"), s.cmd.Bool("zones")
	for _, set := range []bool{endpoints, control, zones, config, s.cmd.Args().Present()} {
		if set {
			given++
		}
	}
	if given > 1 {
		return usageError("give one of JOB, --endpoints, --zones, --control and --config")
	}
	switch {
	case zones:
		return s.statusZones()
	case control:
		return s.statusControl()
	case config:
		return s.statusConfig()
	case endpoints:
		return s.statusEndpoints()
	case s.cmd.Args().Present():
		return s.statusJob()
	default:
		jobs, err := s.client.Jobs(s.ctx)
		if err != nil {
			return err
		}
		return s.print(jobs, func(w io.Writer) { writeTable(w, jobRows(jobs...)) })
	}
}

func (s *session) statusJob() (err error) {
	id, err := s.argument("JOB")
	if err != nil {
		return err
	}
	j, err := s.client.Job(s.ctx, id)
	if err != nil {
		return err
	}
	return s.print(j, func(w io.Writer) { writeTable(w, jobRows(j)) })
}

func (s *session) statusConfig() (err error) {
	c, err := s.client.Config(s.ctx)
	if err != nil {
		return err
	}
	return s.print(c, func(w io.Writer) {
		_, _ = fmt.Fprintf(w, "%s%d\n%s", revisionPrefix, c.Revision(), sanitizeLines(c.Text()))
	})
}

func (s *session) statusEndpoints() (err error) {
	endpoints, err := s.client.Endpoints(s.ctx)
	if err != nil {
		return err
	}
	return s.print(endpoints, func(w io.Writer) { writeTable(w, endpointRows(endpoints)) })
}

func (s *session) statusControl() (err error) {
	c, err := s.client.Control(s.ctx)
	if err != nil {
		return err
	}
	return s.print(c, func(w io.Writer) {
		_, _ = fmt.Fprintf(w, "term %d, %d voters, %d are a majority, %d more may be lost\n",
			c.Term(), c.Voters(), c.Majority(), c.FaultsTolerated())
		writeTable(w, controlRows(c.Members()))
	})
}

func controlRows(members []client.ControlMember) (rows [][]string) {
	rows = [][]string{{"CONTROL HOST", "ADDRESS", "VOTE", "STATE"}}
	for _, m := range members {
		vote := "no"
		if m.Voter() {
			vote = "yes"
		}
		rows = append(rows, []string{m.ID(), m.Address(), vote, m.State()})
	}
	return rows
}

func endpointRows(endpoints []client.Endpoint) (rows [][]string) {
	rows = [][]string{{"ENDPOINT", "AVAILABILITY ZONE", "RACK", "STATE", "SLOTS", "IN FLIGHT", "ACCELERATORS"}}
	for _, e := range endpoints {
		rows = append(rows, []string{
			e.Name(), e.AvailabilityZone(), e.Rack(), e.State(),
			strconv.Itoa(e.Slots()), strconv.Itoa(e.InFlight()), strconv.Itoa(e.Accelerators()),
		})
	}
	return rows
}

func drain(s *session) (err error) {
	name, err := s.argument("ENDPOINT")
	if err != nil {
		return err
	}
	undo, id := s.cmd.Bool("undo"), s.cmd.String(requestIDFlag)
	text := "takes no new work"
	if undo {
		text = "takes new work"
		err = s.client.Undrain(s.ctx, name, id)
	} else {
		err = s.client.Drain(s.ctx, name, id)
	}
	if err != nil {
		return err
	}
	return s.print(map[string]any{"endpoint": name, "drained": !undo}, func(w io.Writer) {
		_, _ = fmt.Fprintf(w, "%s %s\n", sanitize(name), text)
	})
}
