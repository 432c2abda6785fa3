package main

import (
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"time"

	"rosemarywind.example/rosemarywind/internal/keys"
)

// First ports on a script's address, to which the number of the process is added.
const (
	quicPort     = 19100
	operatorPort = 19200
	entryPort    = 19300
	standinPort  = 19500
	agentPort    = 19600
)

func (s *script) address(port int) string { return fmt.Sprintf("%s:%d", s.ip, port) }

// cluster CONTROLS ENTRIES WORKERS [LETTER:LINE...] writes keys, tokens and settings for the given numbers of
// processes. LINE is added to the settings of each process whose name begins with LETTER.
func (s *script) cluster(args []string) (err error) {
	var n [3]int
	if _, err = fmt.Sscan(strings.Join(args[:3], " "), &n[0], &n[1], &n[2]); err != nil {
		return err
	}
	authority, err := keys.NewAuthority("scenario", time.Now().Add(-time.Minute), time.Hour)
	if err != nil {
		return err
	}
	if err = authority.WriteCertificate(s.path("authority.pem")); err != nil {
		return err
	}
	extra := map[string]string{}
	for _, a := range args[3:] {
		role, line, _ := strings.Cut(a, ":")
		extra[role] += line + "\n"
	}
	digests := map[string]string{}
	for _, name := range []string{"operator", "previews", "tapes"} {
		token := keys.NewToken()
		digests[name], s.tokens[name] = keys.Digest(token), token
		if err = os.WriteFile(s.path(name+".token"), []byte(token), 0o600); err != nil {
			return err
		}
	}
	files := s.settings(n, digests)
	for name, text := range files {
		if strings.Contains(text, "[keys]") {
			if err = s.issueKeys(authority, name); err != nil {
				return err
			}
		}
		text = extra[name[:1]] + text
		if err = os.WriteFile(s.path(name+".toml"), []byte(text), 0o600); err != nil {
			return err
		}
	}
	return nil
}

func (s *script) path(file string) string { return filepath.Join(s.folder, file) }

// issueKeys issues a certificate for a process and writes its key files.
func (s *script) issueKeys(a *keys.Authority, name string) error {
	id, err := keys.NewIdentity(roleOf(name), name)
	if err != nil {
		return err
	}
	pair, err := a.Issue(id, []netip.Addr{netip.MustParseAddr(s.ip)}, time.Now().Add(-time.Minute), time.Hour)
	if err != nil {
		return err
	}
	return pair.WriteFiles(s.path(name+".pem"), s.path(name+".key"))
}

// settings returns the texts of the TOML files by file name without extension. The numbers n are those of the control
// hosts, entry hosts and workers.
func (s *script) settings(n [3]int, digests map[string]string) map[string]string {
	var members, addresses, urls string
	for i := 1; i <= n[0]; i++ {
		members += fmt.Sprintf("c%d = %q\n", i, s.address(quicPort+i))
		addresses += fmt.Sprintf("%q,", s.address(quicPort+i))
		urls += fmt.Sprintf("%q,", "http://"+s.address(operatorPort+i))
	}
	files := map[string]string{
		"op": fmt.Sprintf("token_file = \"operator.token\"\n[control]\nurls = [%s]\n", urls),
		"fleet": fmt.Sprintf(`# revision 0
[[workspace]]
name = "previews"
tenant = "dokuma"
limits = {in_flight = 64, queued = 256}
token_digests = [%q]

[[workspace]]
name = "tapes"
tenant = "halvergate"
token_digests = [%q]
`, digests["previews"], digests["tapes"]),
	}
	common := func(role string, i, listen, operators int) string {
		name := fmt.Sprintf("%s%d", role, i)
		zone := i
		if role == "w" || role == "s" {
			zone = 1 // all workers are in one rack, which belongs to one availability zone
		}
		text := fmt.Sprintf("name = %q\navailability_zone = \"az%d\"\nlisten = %q\n", name, zone, s.address(listen+i))
		if role == "c" {
			text += fmt.Sprintf("data = \"data-%s\"\noperator_token_digests = [%q]\n", name, digests["operator"])
		}
		if role == "w" {
			text += "accelerators = 8\nrack = \"rack1\"\n"
		}
		text += fmt.Sprintf("[operators]\nlisten = %q\n", s.address(operators+i))
		if role != "s" {
			text += fmt.Sprintf("[keys]\ncertificate = \"%s.pem\"\nkey = \"%s.key\"\nauthority = \"authority.pem\"\n", name, name)
		}
		return text
	}
	for i := 1; i <= n[0]; i++ {
		files[fmt.Sprintf("c%d", i)] = common("c", i, quicPort, operatorPort) + "[members]\n" + members
	}
	control := fmt.Sprintf("[control]\naddresses = [%s]\n", addresses)
	for i := 1; i <= n[1]; i++ {
		files[fmt.Sprintf("e%d", i)] = common("e", i, entryPort, operatorPort+10) + control
	}
	for i := 1; i <= n[2]; i++ {
		url := "http://" + s.address(standinPort+i)
		files[fmt.Sprintf("s%d", i)] = "accelerators = 8\n" + common("s", i, standinPort, operatorPort+20)
		files[fmt.Sprintf("w%d", i)] = common("w", i, agentPort, operatorPort+30) + control +
			fmt.Sprintf("[endpoint]\nurl = %q\n[worker]\nurl = %q\n", url, url)
	}
	return files
}

// boot starts each process that has settings, applies fleet.toml, and waits until all endpoints are ready and all entry
// hosts route requests.
func (s *script) boot([]string) (err error) {
	files, err := filepath.Glob(s.path("[cews][0-9].toml"))
	if err != nil {
		return err
	}
	ready := []string{}
	for _, f := range files {
		name := strings.TrimSuffix(filepath.Base(f), ".toml")
		if err = s.start([]string{name}); err != nil {
			return err
		}
		if roleOf(name) == "entry" || roleOf(name) == "agent" {
			ready = append(ready, name)
		}
	}
	if err = s.until([]string{"revision 1", "rosemarywind", "apply", "fleet.toml", "--request-id", "boot"}); err != nil {
		return err
	}
	return s.ready(ready)
}

// ready NAME... waits until the leader lists the named agents' endpoints as ready, and until a request through each
// named entry host succeeds.
func (s *script) ready(names []string) error {
	endpoints := ""
	for _, name := range names {
		if roleOf(name) == "agent" {
			endpoints += name + " .*ready.*\n(.*\n)*"
		}
	}
	if err := s.until([]string{endpoints, "rosemarywind", "status", "--endpoints"}); err != nil {
		return err
	}
	for _, name := range names {
		if roleOf(name) != "entry" {
			continue
		}
		if err := s.answers([]string{"200", "http://" + s.entry(name) + "/w/previews/ready"}); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	return nil
}

// entry returns the address on which an entry host serves callers.
func (s *script) entry(name string) string { return s.address(entryPort + int(name[1]-'0')) }

// answers STATUS URL waits until a GET of a URL is answered with a status.
func (s *script) answers(args []string) error {
	return eventually(func() error {
		h, err := http.NewRequest(http.MethodGet, args[1], nil)
		if err != nil {
			return err
		}
		h.Header.Set("Authorization", "Bearer "+s.tokens["previews"])
		answer, err := s.journal.client.Do(h)
		if err != nil {
			return err
		}
		_ = answer.Body.Close()
		if got := fmt.Sprint(answer.StatusCode); got != args[0] {
			return fmt.Errorf("answered with status %s", got)
		}
		return nil
	})
}
