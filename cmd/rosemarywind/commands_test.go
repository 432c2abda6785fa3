package main

import "github.com/rogpeppe/go-internal/testscript"

// scriptCommands returns the commands of the scripts in addition to those of testscript.
func scriptCommands() map[string]func(*testscript.TestScript, bool, []string) {
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
		"send":       adaptJournal((*journal).send),
		"got":        adaptJournal((*journal).got),
		"hears":      adaptJournal((*journal).hears),
		"load":       adaptJournal((*journal).load),
		"audit":      adaptJournal((*journal).audit),
		"unserved":   adaptJournal((*journal).unserved),
		"runs":       adaptJournal((*journal).runs),
		"runner":     adaptJournal((*journal).runner),
	}
}

// adaptJournal returns a method of journal as a testscript command.
func adaptJournal(run func(j *journal, args []string) error) func(*testscript.TestScript, bool, []string) {
	return adapt(func(s *script, args []string) error { return run(s.journal, args) })
}
