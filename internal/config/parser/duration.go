package parser

import (
	"encoding/json"
	"fmt"
	"time"
)

// Duration is a time.Duration that is encoded as a string such as "1m30s".
type Duration time.Duration

// UnmarshalJSON decodes a duration from a string with units.
func (d *Duration) UnmarshalJSON(text []byte) error {
	var s string
	if err := json.Unmarshal(text, &s); err != nil {
		return fmt.Errorf("duration %s: want a string such as \"30s\"", text)
	}
	v, err := time.ParseDuration(s)
	if err != nil {
		return fmt.Errorf("duration %q: want a number with a unit, such as \"30s\"", s)
	}
	*d = Duration(v)
	return nil
}

// MarshalJSON encodes the duration as a string with units.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// Std returns the duration as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }
