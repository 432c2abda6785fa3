package declaration

import (
	"fmt"
	"strconv"
	"time"

	"rosemarywind.example/rosemarywind/internal/document"
	"rosemarywind.example/rosemarywind/internal/workspace"
)

// Duration returns the value of a default for a target such as "worker/w1": that of an exception, else the declared
// default, else the built-in value. It returns 0 if the value of the key is not a duration.
func Duration(c *workspace.Config, target string, key Key) time.Duration {
	d, _ := valueOf(c, target, key).(time.Duration)
	return d
}

// Integer returns the value of a default for a target, resolved as by Duration, or 0 if the value is not an integer.
func Integer(c *workspace.Config, target string, key Key) int {
	n, _ := valueOf(c, target, key).(int64)
	return int(n)
}

// valueOf returns the converted value of a default for a target, or nil if the key is unknown.
func valueOf(c *workspace.Config, target string, key Key) any {
	d, ok := findDefinition(key)
	if !ok {
		return nil
	}
	if text, ok := c.Value(target, string(key)); ok {
		if v := convert(key, text); v != nil {
			return v
		}
	}
	return d.builtIn
}

// convert returns the value that a configuration holds as text, or nil if the key is unknown or the text is not a valid
// value of it.
func convert(key Key, text string) any {
	d, ok := findDefinition(key)
	if !ok {
		return nil
	}
	v, err := document.Convert(d.kind, rawOf(d, text))
	if err != nil {
		return nil
	}
	return v
}

// rawOf returns the raw TOML value for a value that a configuration holds as text.
func rawOf(d definition, text string) any {
	if _, ok := d.builtIn.(int64); ok {
		if n, err := strconv.ParseInt(text, 10, 64); err == nil {
			return n
		}
	}
	return text
}

// textOf returns the canonical text of a converted value, so that equal values have equal texts in a configuration.
func textOf(value any) string {
	if d, ok := value.(time.Duration); ok {
		return document.FormatDuration(d)
	}
	return fmt.Sprint(value)
}
