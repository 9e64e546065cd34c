package config

import (
	"errors"
	"fmt"
	"maps"
	"reflect"
	"slices"

	"umberbank/balancer"
)

// optionalKeys are keys that the platform may leave out. The node reads none of them.
var optionalKeys = map[string]bool{"aim-stretch": true, "passes-deadline": true, "warm-keys": true, "fleet": true}

// CheckReload says why next cannot take the place of c while the node runs; nil: it can. It is stricter than a start, which has
// nothing to compare with: every key that c's file has must be in next's, with a value of the same kind.
func (c Config) CheckReload(next Config) error {
	if err := checkSameKeys("", c.document, next.document); err != nil {
		return err
	}
	if err := next.Settings.Validate(); err != nil {
		return err
	}
	if next.Settings.MaxAttempts <= 0 {
		return errors.New("settings.limits.max-attempts is not over 0")
	}
	if hasDuplicateClass(next.Settings.Classes) {
		return errors.New("settings.lanes: a name comes twice")
	}
	return nil
}

func hasDuplicateClass(classes []balancer.Class) bool {
	names := map[string]bool{}
	for _, c := range classes {
		names[c.Name] = true
	}
	return len(names) < len(classes)
}

// checkSameKeys says which key of the value was is missing in next or of another kind there. The objects of a list must have the
// keys that the objects of the list before had in common. path is that of the value, "" for the whole document.
func checkSameKeys(path string, was, next any) error {
	if was != nil && reflect.TypeOf(was) != reflect.TypeOf(next) {
		return fmt.Errorf("%s is missing or no longer of the kind it was", path)
	}
	switch was := was.(type) {
	case map[string]any:
		return checkSameObject(path, was, next.(map[string]any))
	case []any:
		common := commonKeys(was)
		for i, entry := range next.([]any) {
			if err := checkSameKeys(fmt.Sprintf("%s[%d]", path, i), common, entry); err != nil {
				return err
			}
		}
	}
	return nil
}

// checkSameObject is checkSameKeys of two objects.
func checkSameObject(path string, was, next map[string]any) error {
	for _, key := range slices.Sorted(maps.Keys(was)) {
		_, present := next[key]
		if !present && optionalKeys[key] {
			continue
		}
		if path == "" && key == "known" && present {
			continue // the servers differ from file to file
		}
		if err := checkSameKeys(path+"."+key, was[key], next[key]); err != nil {
			return err
		}
	}
	return nil
}

// commonKeys is the object of the keys that all objects of a list have; nil if the list has anything but objects, or nothing.
func commonKeys(list []any) any {
	var common map[string]any
	for _, entry := range list {
		object, isObject := entry.(map[string]any)
		if !isObject {
			return nil
		}
		if common == nil {
			common = maps.Clone(object)
		}
		maps.DeleteFunc(common, func(key string, _ any) bool {
			_, present := object[key]
			return !present
		})
	}
	if common == nil {
		return nil
	}
	return common
}
