package operator

import (
	"github.com/urfave/cli/v3"
)

// Names of the flags that more than one command has.
const (
	settingsFlag  = "settings"
	jsonFlag      = "json"
	requestIDFlag = "request-id"
	baseFlag      = "base"
)

// SettingsVariable is the environment variable with the path of the settings file, used if --settings is not given.
const SettingsVariable = "ROSEMARYWIND_SETTINGS"

// Commands returns the commands of the command line client, newly built at each call.
func Commands() []*cli.Command {
	return []*cli.Command{
		applyCommand(), diffCommand(), checkCommand(), submitCommand(), cancelCommand(), statusCommand(),
		explainCommand(), drainCommand(), evacuateCommand(), keysCommand(), settingsCommand(),
	}
}

// remoteCommand returns a command that sends requests to the control hosts, with the flags common to these commands.
func remoteCommand(name, usage, args string, action func(*session) error, flags ...cli.Flag) *cli.Command {
	return &cli.Command{
		Name: name, Usage: usage, ArgsUsage: args, Action: withSession(action),
		Flags: append([]cli.Flag{
			&cli.StringFlag{Name: settingsFlag, Usage: "settings file of the role operator", Sources: cli.EnvVars(SettingsVariable), TakesFile: true},
			&cli.BoolFlag{Name: jsonFlag, Usage: "print JSON"},
		}, flags...),
	}
}

func newRequestIDFlag() cli.Flag {
	return &cli.StringFlag{Name: requestIDFlag, Usage: "id under which the request is sent; give the same one to repeat a request whose outcome is unknown"}
}

func newBaseFlag() cli.Flag {
	return &cli.Uint64Flag{Name: baseFlag, Usage: "revision that the file was made from; read from its \"# revision N\" line if not given"}
}
