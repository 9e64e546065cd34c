package config

import (
	"errors"
	"fmt"
	"maps"
	"reflect"
	"slices"

	"umberbank/balancer"
)

// optionalKeys are keys that the platform may leave out of a later file. The node reads none of them.
var optionalKeys = map[string]bool{"aim-stretch": true, "passes-deadline": true, "warm-keys": true, "fleet": true}

// CheckReload returns an error if next cannot replace c while the node runs. It is stricter than a
// start. Every key of c's file must also be in next's, with a value of the same JSON type, except for
// optionalKeys, keys whose value is null in c's file, and the content of "known". The settings must pass
// CheckSettings.
func (c Config) CheckReload(next Config) error {
	if err := checkSameKeys("", c.document, next.document); err != nil {
		return err
	}
	return next.CheckSettings()
}

// CheckSettings returns an error if a running node cannot use the settings of c. The maximum number of
// attempts must be above zero, and no two classes may have the same name.
func (c Config) CheckSettings() error {
	if err := c.Settings.Validate(); err != nil {
		return err
	}
	if c.Settings.MaxAttempts <= 0 {
		return errors.New("settings.limits.max-attempts is not over 0")
	}
	if hasDuplicateClass(c.Settings.Classes) {
		return errors.New("settings.lanes: duplicate name")
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

// checkSameKeys returns an error that names the first key of the value current that is missing in next
// or has another type there. Each object of a list in next must have the keys that all objects of the
// current list have in common. path is the path of the value, which is empty for the whole document.
func checkSameKeys(path string, current, next any) error {
	if current != nil && reflect.TypeOf(current) != reflect.TypeOf(next) {
		return fmt.Errorf("%s is missing or no longer of the kind it was", path)
	}
	switch current := current.(type) {
	case map[string]any:
		return checkSameObject(path, current, next.(map[string]any))
	case []any:
		common := commonKeys(current)
		for i, entry := range next.([]any) {
			if err := checkSameKeys(fmt.Sprintf("%s[%d]", path, i), common, entry); err != nil {
				return err
			}
		}
	}
	return nil
}

// checkSameObject implements checkSameKeys for two objects.
func checkSameObject(path string, current, next map[string]any) error {
	for _, key := range slices.Sorted(maps.Keys(current)) {
		_, present := next[key]
		if !present && optionalKeys[key] {
			continue
		}
		if path == "" && key == "known" && present {
			continue // the entries of the endpoint list may have other keys in the next file
		}
		if err := checkSameKeys(path+"."+key, current[key], next[key]); err != nil {
			return err
		}
	}
	return nil
}

// commonKeys returns the entries of a list's first object whose keys all objects of the list have. It
// returns nil if the list is empty or contains anything but objects.
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
