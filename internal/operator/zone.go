package operator

import (
	"fmt"
	"io"
	"time"

	"github.com/urfave/cli/v3"

	"rosemarywind.example/rosemarywind/pkg/client"
)

func evacuateCommand() *cli.Command {
	return remoteCommand("evacuate", "make the endpoints of an availability zone take no new work", "ZONE", evacuate,
		&cli.StringFlag{Name: "reason", Usage: "why the zone is evacuated, for other operators"},
		&cli.BoolFlag{Name: "undo", Usage: "let the zone take new work again"}, newRequestIDFlag())
}

func evacuate(s *session) (err error) {
	zone, err := s.argument("ZONE")
	if err != nil {
		return err
	}
	undo, id, reason := s.cmd.Bool("undo"), s.cmd.String(requestIDFlag), s.cmd.String("reason")
	if undo && reason != "" {
		return usageError("--undo takes no --reason")
	}
	text := "takes no new work"
	if undo {
		text = "takes new work"
		err = s.client.Reopen(s.ctx, zone, id)
	} else {
		err = s.client.Evacuate(s.ctx, zone, reason, id)
	}
	if err != nil {
		return err
	}
	return s.print(map[string]any{"availability_zone": zone, "evacuated": !undo}, func(w io.Writer) {
		_, _ = fmt.Fprintf(w, "%s %s\n", sanitize(zone), text)
	})
}

func (s *session) statusZones() (err error) {
	list, err := s.client.Evacuations(s.ctx)
	if err != nil {
		return err
	}
	return s.print(list, func(w io.Writer) { writeTable(w, evacuationRows(list)) })
}

func evacuationRows(list []client.Evacuation) (rows [][]string) {
	rows = [][]string{{"EVACUATED ZONE", "SINCE", "REASON"}}
	for _, e := range list {
		rows = append(rows, []string{e.AvailabilityZone(), e.Since().Format(time.RFC3339), e.Reason()})
	}
	return rows
}
