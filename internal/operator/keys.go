package operator

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"github.com/urfave/cli/v3"

	"rosemarywind.example/rosemarywind/internal/keys"
)

// The files in the folder of an authority.
const (
	authorityFile    = "authority.pem"
	authorityKeyFile = "authority.key"
)

// day is the unit of the --days flags.
const day = 24 * time.Hour

func keysCommand() *cli.Command {
	days := func(value int) cli.Flag {
		return &cli.IntFlag{Name: "days", Value: value, Usage: "days for which the certificate is valid"}
	}
	out := func(usage string) cli.Flag { return &cli.StringFlag{Name: "out", Usage: usage} }
	return &cli.Command{
		Name: "keys", Usage: "make certificates and tokens",
		Commands: []*cli.Command{
			{
				Name: "authority", Usage: "make a certificate authority", Action: makeAuthority,
				Flags: []cli.Flag{
					out("folder for " + authorityFile + " and " + authorityKeyFile), days(3650),
					&cli.StringFlag{Name: "name", Value: "rosemarywind", Usage: "name of the authority"},
				},
			},
			{
				Name: "issue", Usage: "issue the certificate of a process as ROLE-NAME.pem and ROLE-NAME.key", Action: issueKeys,
				Flags: []cli.Flag{
					out("folder for the files; the authority's folder if not given"), days(365),
					&cli.StringFlag{Name: "authority", Usage: "folder of the authority"},
					&cli.StringFlag{Name: "role", Usage: "entry, agent or control"},
					&cli.StringFlag{Name: "name", Usage: "name of the process"},
					&cli.StringSliceFlag{Name: "ip", Usage: "IP address of the process; may be repeated"},
				},
			},
			{
				Name: "token", Usage: "make a bearer token and print its digest", Action: makeToken,
				Flags: []cli.Flag{out("new file for the token; printed if not given")},
			},
		},
	}
}

func makeAuthority(_ context.Context, c *cli.Command) (err error) {
	folder := c.String("out")
	if folder == "" {
		return usageError("--out FOLDER is required")
	}
	if c.Int("days") < 1 {
		return usageError("--days must be at least 1")
	}
	certificate, key := filepath.Join(folder, authorityFile), filepath.Join(folder, authorityKeyFile)
	for _, f := range []string{certificate, key} {
		if _, err = os.Lstat(f); !errors.Is(err, fs.ErrNotExist) {
			return fmt.Errorf("%s exists; an authority is not replaced", f)
		}
	}
	a, err := keys.NewAuthority(c.String("name"), time.Now(), time.Duration(c.Int("days"))*day)
	if err != nil {
		return err
	}
	if err = os.MkdirAll(folder, 0o700); err != nil {
		return err
	}
	if err = a.Pair().WriteFiles(certificate, key); err != nil {
		return err
	}
	_, err = fmt.Fprintln(c.Root().Writer, certificate)
	return err
}

func issueKeys(_ context.Context, c *cli.Command) (err error) {
	folder := c.String("authority")
	if folder == "" {
		return usageError("--authority FOLDER is required")
	}
	if c.Int("days") < 1 {
		return usageError("--days must be at least 1")
	}
	id, err := keys.NewIdentity(c.String("role"), c.String("name"))
	if err != nil {
		return &exitError{code: ExitUsage, cause: err}
	}
	var addresses []netip.Addr
	for _, s := range c.StringSlice("ip") {
		ip, err := netip.ParseAddr(s)
		if err != nil {
			return usageError("--ip %q is not an IP address", s)
		}
		addresses = append(addresses, ip)
	}
	pair, err := keys.ReadPair(filepath.Join(folder, authorityFile), filepath.Join(folder, authorityKeyFile))
	if err != nil {
		return err
	}
	a, err := keys.ParseAuthority(pair)
	if err != nil {
		return err
	}
	p, err := a.Issue(id, addresses, time.Now(), time.Duration(c.Int("days"))*day)
	if err != nil {
		return err
	}
	return writeIssued(c, a, p, id, folder)
}

// writeIssued writes the certificate and the key of a process to the --out folder, with the authority's certificate
// beside them, or to the authority's folder, which has it.
func writeIssued(c *cli.Command, a *keys.Authority, p keys.Pair, id keys.Identity, folder string) (err error) {
	if out := c.String("out"); out != "" && filepath.Clean(out) != filepath.Clean(folder) {
		folder = out
		if err = os.MkdirAll(folder, 0o700); err != nil {
			return err
		}
		if err = a.WriteCertificate(filepath.Join(folder, authorityFile)); err != nil {
			return err
		}
	}
	stem := filepath.Join(folder, id.Role()+"-"+id.Name())
	if err = p.WriteFiles(stem+".pem", stem+".key"); err != nil {
		return err
	}
	_, err = fmt.Fprintln(c.Root().Writer, stem+".pem")
	return err
}

func makeToken(_ context.Context, c *cli.Command) (err error) {
	token, out := keys.NewToken(), c.Root().Writer
	file := c.String("out")
	if file == "" {
		_, err = fmt.Fprintf(out, "token  %s\ndigest %s\n", token, keys.Digest(token))
		return err
	}
	f, err := os.OpenFile(file, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("write token: %w", err)
	}
	_, err = fmt.Fprintln(f, token)
	if err = errors.Join(err, f.Close()); err != nil {
		return fmt.Errorf("write token: %w", err)
	}
	_, err = fmt.Fprintln(out, keys.Digest(token))
	return err
}
