package node

import (
	"errors"
	"fmt"
	"net/http"

	"umberbank/balancer"
	"umberbank/internal/node/header"
)

// errUnknownClass rejects a request that every server would fail, which would count against the servers' health.
var errUnknownClass = errors.New("not in the settings")

// classes are the classes that requests may name now, by name. They are never changed: a reload swaps them whole.
type classes map[string]balancer.Class

func newClasses(settings balancer.Settings) *classes {
	c := classes{}
	for _, class := range settings.Classes {
		c[class.Name] = class
	}
	return &c
}

// check says what is wrong with a request of a class, by its headers.
func (c *classes) check(class string, h http.Header) error {
	settings, known := (*c)[class]
	switch {
	case !known:
		return fmt.Errorf("the class %q: %w", class, errUnknownClass)
	case settings.Effect == balancer.WithIdempotencyKey && h.Get(header.IdempotencyKey) == "":
		// Without its key the servers would run every retry.
		return errors.New("Idempotency-Key is missing")
	}
	return nil
}
