package node

import (
	"errors"
	"fmt"
	"net/http"

	"umberbank/balancer"
	"umberbank/internal/node/header"
)

// errUnknownClass is the reason for rejecting a request whose class is not configured. Every server would fail such a
// request, and the failures would count against the health of the servers.
var errUnknownClass = errors.New("not in the settings")

// classes maps names to the configured request classes. It is immutable: a reload replaces the whole map.
type classes map[string]balancer.Class

func newClasses(settings balancer.Settings) *classes {
	c := classes{}
	for _, class := range settings.Classes {
		c[class.Name] = class
	}
	return &c
}

// has reports whether a class with the given name is configured.
func (c *classes) has(name string) bool {
	_, known := (*c)[name]
	return known
}

// check returns an error if a request of the class with the given name must be rejected because of its method or its headers.
func (c *classes) check(name string, hr *http.Request) error {
	class, known := (*c)[name]
	switch {
	case !known:
		return fmt.Errorf("the class %q: %w", name, errUnknownClass)
	case class.Effect != balancer.Idempotent && hr.Method == http.MethodGet:
		return fmt.Errorf("the class %q takes no GET", name)
	case class.Effect == balancer.WithIdempotencyKey && hr.Header.Get(header.IdempotencyKey) == "":
		// Without a key, servers cannot detect retries and would run each of them.
		return errors.New("Idempotency-Key is missing")
	}
	return nil
}
