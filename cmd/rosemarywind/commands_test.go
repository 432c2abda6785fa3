package main

import "github.com/rogpeppe/go-internal/testscript"

// ofSystem returns the commands that scripts have beside testscript's own.
func ofSystem() map[string]func(*testscript.TestScript, bool, []string) {
	return map[string]func(*testscript.TestScript, bool, []string){
		"cluster":    adapt((*script).cluster),
		"boot":       adapt((*script).boot),
		"start":      adapt((*script).start),
		"signal":     adapt((*script).signal),
		"ended":      adapt((*script).ended),
		"logged":     adapt((*script).logged),
		"ready":      adapt((*script).ready),
		"leader":     adapt((*script).leader),
		"follower":   adapt((*script).follower),
		"holds":      adapt((*script).holds),
		"together":   adapt((*script).together),
		"worker":     adapt((*script).worker),
		"idle":       adapt((*script).idle),
		"metric":     adapt((*script).metric),
		"documented": adapt((*script).documented),
		"get":        adapt((*script).get),
		"answers":    adapt((*script).answers),
		"fault":      adapt((*script).fault),
		"silence":    adapt((*script).silence),
		"exits":      adapt((*script).exits),
		"until":      adapt((*script).until),
		"empty":      adapt((*script).empty),
		"edit":       adapt((*script).edit),
		"pause":      adapt((*script).pause),
		"send":       ofJournal((*journal).send),
		"got":        ofJournal((*journal).got),
		"hears":      ofJournal((*journal).hears),
		"load":       ofJournal((*journal).load),
		"audit":      ofJournal((*journal).audit),
		"unserved":   ofJournal((*journal).unserved),
		"runs":       ofJournal((*journal).runs),
		"runner":     ofJournal((*journal).runner),
	}
}

func ofJournal(run func(j *journal, args []string) error) func(*testscript.TestScript, bool, []string) {
	return adapt(func(s *script, args []string) error { return run(s.journal, args) })
}
