package declaration

import (
	"fmt"
	"strconv"
	"time"

	"rosemarywind.example/rosemarywind/internal/document"
	"rosemarywind.example/rosemarywind/internal/workspace"
)

// Duration returns the value of a default for a target such as "worker/w1", from an exception, the fleet's default or the built-in value.
func Duration(c *workspace.Config, target string, key Key) time.Duration {
	d, _ := valueOf(c, target, key).(time.Duration)
	return d
}

// Integer returns the value of a default for a target like Duration.
func Integer(c *workspace.Config, target string, key Key) int {
	n, _ := valueOf(c, target, key).(int64)
	return int(n)
}

func valueOf(c *workspace.Config, target string, key Key) any {
	d, ok := find(key)
	if !ok {
		return nil
	}
	if text, ok := c.Value(target, string(key)); ok {
		if v := convert(key, text); v != nil {
			return v
		}
	}
	return d.fallback
}

// convert returns the value that a configuration holds as text, nil if the text does not fit the key.
func convert(key Key, text string) any {
	d, ok := find(key)
	if !ok {
		return nil
	}
	v, err := document.Convert(d.kind, rawOf(d, text))
	if err != nil {
		return nil
	}
	return v
}

// rawOf returns the TOML form of a value that a configuration holds as text.
func rawOf(d declared, text string) any {
	if _, ok := d.fallback.(int64); ok {
		if n, err := strconv.ParseInt(text, 10, 64); err == nil {
			return n
		}
	}
	return text
}

// textOf returns the one text of a converted value, so that equal values are equal in a configuration.
func textOf(value any) string {
	if d, ok := value.(time.Duration); ok {
		return document.FormatDuration(d)
	}
	return fmt.Sprint(value)
}
