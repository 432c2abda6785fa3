package operator

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"rosemarywind.example/rosemarywind/internal/inspection"
)

// SectionNames are the names of sections of a configuration in a file whose names differ from those of the project.
type SectionNames map[inspection.Section]string

func (n SectionNames) of(s inspection.Section) string {
	if name, ok := n[s]; ok {
		return name
	}
	return string(s)
}

// findingForm is the JSON encoding of a finding.
type findingForm struct {
	Kind    string `json:"kind"`
	Section string `json:"section,omitempty"`
	Index   *int   `json:"index,omitempty"`
	Name    string `json:"name,omitempty"`
	Line    int    `json:"line,omitempty"`
	Key     string `json:"key,omitempty"`
	Message string `json:"message"`
	Action  string `json:"action,omitempty"`
	Before  string `json:"before,omitempty"`
	After   string `json:"after,omitempty"`
}

// WriteFindings writes findings as a table for people or as a JSON array.
func WriteFindings(w io.Writer, findings []inspection.Finding, names SectionNames, asJSON bool) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("write findings: %w", err)
		}
	}()
	if asJSON {
		forms := make([]findingForm, len(findings))
		for i, f := range findings {
			forms[i] = findingFormOf(f, names)
		}
		e := json.NewEncoder(w)
		e.SetIndent("", "  ")
		e.SetEscapeHTML(false) // the arrow of a difference stays readable
		return e.Encode(forms)
	}
	if len(findings) == 0 {
		_, err = fmt.Fprintln(w, "no findings")
		return err
	}
	rows := [][]string{{"KIND", "PLACE", "FINDING"}}
	for _, f := range findings {
		rows = append(rows, []string{string(f.Kind()), placeText(f.Place(), names), f.Message()})
	}
	writeTable(w, rows)
	return nil
}

func findingFormOf(f inspection.Finding, names SectionNames) findingForm {
	form := findingForm{Kind: string(f.Kind()), Message: f.Message()}
	switch p := f.Place().(type) {
	case inspection.Entry:
		form.Section, form.Name = names.of(p.Section()), p.Name()
		if index, ok := p.Index(); ok {
			form.Index = &index
		}
	case inspection.Key:
		form.Line, form.Key = p.Line(), p.Path()
	}
	if c, ok := f.Change(); ok {
		form.Action, form.Before, form.After = string(c.Action()), c.Before(), c.After()
	}
	return form
}

// placeText returns a place such as "queue[3] scans", "workspace previews" or "line 12 workspace[0].limits".
func placeText(p inspection.Place, names SectionNames) string {
	var parts []string
	switch p := p.(type) {
	case inspection.Entry:
		section := names.of(p.Section())
		if index, ok := p.Index(); ok {
			section = fmt.Sprintf("%s[%d]", section, index)
		}
		parts = append(parts, section, p.Name())
	case inspection.Key:
		if p.Line() > 0 {
			parts = append(parts, fmt.Sprintf("line %d", p.Line()))
		}
		parts = append(parts, p.Path())
	}
	return strings.TrimSpace(strings.Join(parts, " "))
}

// FindingsError returns an error that counts the findings and determines the exit code, or nil if there are none.
func FindingsError(findings []inspection.Finding) error {
	if len(findings) == 0 {
		return nil
	}
	count := map[inspection.Kind]int{}
	for _, f := range findings {
		count[f.Kind()]++
	}
	warnings := count[inspection.Unreachable] + count[inspection.Contradiction]
	code := ExitDifferences
	switch {
	case count[inspection.Error] > 0:
		code = ExitErrors
	case warnings > 0:
		code = ExitWarnings
	}
	return &exitError{code: code, cause: fmt.Errorf("errors: %d, warnings: %d, differences: %d",
		count[inspection.Error], warnings, count[inspection.Difference])}
}
