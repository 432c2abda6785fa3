package operator

import (
	"fmt"
	"io"
	"strconv"

	"github.com/urfave/cli/v3"

	"rosemarywind.example/rosemarywind/pkg/client"
)

func statusCommand() *cli.Command {
	return remote("status", "show jobs, endpoints or the configuration", "[JOB]", status,
		&cli.BoolFlag{Name: "endpoints", Usage: "show the endpoints"},
		&cli.BoolFlag{Name: "config", Usage: "show the configuration as a declaration with its revision"})
}

func drainCommand() *cli.Command {
	return remote("drain", "make an endpoint leave after its requests in flight", "ENDPOINT", drain, requestID())
}

func status(s *session) (err error) {
	endpoints, config := s.cmd.Bool("endpoints"), s.cmd.Bool("config")
	if endpoints && config || (endpoints || config) && s.cmd.Args().Present() {
		return usage("give one of JOB, --endpoints and --config")
	}
	switch {
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
		return s.print(map[string]any{"jobs": jobs}, func(w io.Writer) { table(w, jobRows(jobs...)) })
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
	return s.print(j, func(w io.Writer) { table(w, jobRows(j)) })
}

func (s *session) statusConfig() (err error) {
	text, revision, err := s.client.Config(s.ctx)
	if err != nil {
		return err
	}
	return s.print(map[string]any{"revision": revision, "text": string(text)}, func(w io.Writer) {
		_, _ = fmt.Fprintf(w, "%s%d\n%s", revisionPrefix, revision, plainLines(string(text)))
	})
}

func (s *session) statusEndpoints() (err error) {
	endpoints, err := s.client.Endpoints(s.ctx)
	if err != nil {
		return err
	}
	return s.print(map[string]any{"endpoints": endpoints}, func(w io.Writer) { table(w, endpointRows(endpoints)) })
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
	if err = s.client.Drain(s.ctx, name, s.cmd.String(requestIDFlag)); err != nil {
		return err
	}
	return s.print(map[string]string{"endpoint": name, "state": "leaving"}, func(w io.Writer) {
		_, _ = fmt.Fprintf(w, "%s is leaving\n", plain(name))
	})
}
