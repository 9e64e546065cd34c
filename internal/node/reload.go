package node

import (
	"errors"
	"fmt"
	"log"
	"maps"
	"net/http"
	"reflect"
	"slices"
	"time"

	"umberbank/balancer"
)

// classes are the classes that requests may name now, with what is said of them. They are never changed:
// a reload swaps them whole.
type classes map[string]balancer.Class

func newClasses(set balancer.Settings) *classes {
	c := classes{}
	for _, k := range set.Classes {
		c[k.Name] = k
	}
	return &c
}

// errUnknownClass ends what would fail at any server, where it would count against the server's health.
var errUnknownClass = errors.New("not in the settings")

// check says what is wrong with a request of a class.
func (c *classes) check(class string, h http.Header) error {
	k, known := (*c)[class]
	switch {
	case !known:
		return fmt.Errorf("the class %q: %w", class, errUnknownClass)
	case k.Effect == balancer.WithIdempotencyKey && h.Get("Idempotency-Key") == "":
		// Without its key the servers would run every repeat.
		return errors.New("Idempotency-Key is missing")
	}
	return nil
}

// patienceFor is how long callers may wait for what a stopping node has taken.
func patienceFor(set balancer.Settings) time.Duration {
	var longest time.Duration
	for _, c := range set.Classes {
		longest = max(longest, min(c.Deadline, maxPatience))
	}
	return longest
}

// ReloadFile reads the configuration anew and takes over what may change while the node runs, as Reload
// does. Settings that the site has agreed on stay.
func (n *Node) ReloadFile(path string) error {
	cfg, err := LoadConfig(path)
	n.reloading.Lock()
	defer n.reloading.Unlock()
	if err == nil && n.agreed != nil {
		cfg, err = cfg.withSettings(n.agreed)
	}
	if err != nil {
		n.loop.metrics.rejected.Add(1)
		return err
	}
	return n.take(cfg)
}

// Reload takes over discovery's address and the settings, all in one step of the loop. A configuration
// with any fault changes nothing.
func (n *Node) Reload(cfg Config) error {
	n.reloading.Lock()
	defer n.reloading.Unlock()
	return n.take(cfg)
}

// take is Reload with n.reloading held.
func (n *Node) take(cfg Config) error {
	if err := reloadable(n.shape, cfg); err != nil {
		n.loop.metrics.rejected.Add(1)
		return err
	}
	n.shape, n.now = cfg.shape, cfg
	n.loop.post(func() {
		n.loop.retune(cfg)
		n.patience.Store(int64(patienceFor(cfg.Settings)))
		n.loop.metrics.applied.Add(1)
		log.Printf("reloaded: discovery at %s", cfg.Discovery)
	})
	return nil
}

// reloadable says what is wrong with a configuration that is to follow one of the given shape. It is
// stricter than a start, which has nothing to compare with.
func reloadable(shape any, cfg Config) error {
	if err := sameShape("", shape, cfg.shape); err != nil {
		return err
	}
	if err := cfg.Settings.Validate(); err != nil {
		return err
	}
	if cfg.Settings.MaxAttempts <= 0 {
		return errors.New("settings.limits.max-attempts is not over 0")
	}
	if len(*newClasses(cfg.Settings)) < len(cfg.Settings.Classes) {
		return errors.New("settings.lanes: a name comes twice")
	}
	return nil
}

// mayBeAbsent are the keys that a complete configuration may be without.
var mayBeAbsent = map[string]bool{"aim-stretch": true, "passes-deadline": true, "warm-keys": true, "fleet": true}

// sameShape says which key of the object was in next is missing or of another kind. The entries of a list
// must have the keys that its entries had in common.
func sameShape(path string, was, next any) error {
	if was != nil && reflect.TypeOf(was) != reflect.TypeOf(next) {
		return fmt.Errorf("%s is missing or no longer of the kind it was", path)
	}
	switch was := was.(type) {
	case map[string]any:
		next := next.(map[string]any)
		for _, key := range slices.Sorted(maps.Keys(was)) {
			if _, there := next[key]; !there && mayBeAbsent[key] || path == "" && key == "known" && there {
				continue // the servers differ from file to file
			}
			if err := sameShape(path+"."+key, was[key], next[key]); err != nil {
				return err
			}
		}
	case []any:
		common := inCommon(was)
		for i, e := range next.([]any) {
			if err := sameShape(fmt.Sprintf("%s[%d]", path, i), common, e); err != nil {
				return err
			}
		}
	}
	return nil
}

// inCommon is the object of the keys that all objects of a list have; nil if they are no objects.
func inCommon(list []any) any {
	var common map[string]any
	for _, e := range list {
		object, is := e.(map[string]any)
		if !is {
			return nil
		}
		if common == nil {
			common = maps.Clone(object)
		}
		maps.DeleteFunc(common, func(key string, _ any) bool { _, there := object[key]; return !there })
	}
	if common == nil {
		return nil
	}
	return common
}
