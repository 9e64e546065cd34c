package scenario

import (
	"fmt"
	"time"
)

// Duration is a time.Duration written as text with its unit, as "250ms" or "1m30s".
type Duration time.Duration

// UnmarshalText reads text such as "250ms".
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is no time with a unit, such as \"250ms\"", text)
	}
	*d = Duration(v)
	return nil
}

// MarshalText writes what UnmarshalText reads.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

func (d Duration) String() string { return time.Duration(d).String() }

// Std is the duration in the standard library's type.
func (d Duration) Std() time.Duration { return time.Duration(d) }
