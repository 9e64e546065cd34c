package scenario

import (
	"flag"
	"fmt"
	"hash/fnv"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"
)

// The files under testdata were written by an earlier release from the scenarios in labs. They pin the keys and defaults of
// scenarios, the values that a seed draws, and the settings of nodes.
var update = flag.Bool("update", false, "rewrite the files under testdata")

func TestScenarioGoldenFiles(t *testing.T) {
	files, err := filepath.Glob("../../../labs/*.toml")
	if err != nil || len(files) == 0 {
		t.Fatal(files, err)
	}
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".toml")
		t.Run(name, func(t *testing.T) {
			s, err := Read(file, nil)
			if err != nil {
				t.Fatal(err)
			}
			complete, err := toml.Marshal(s)
			if err != nil {
				t.Fatal(err)
			}
			got := fmt.Sprintf("%s\n%s", complete, describeSite(NewSite(s, 7)))
			path := filepath.Join("testdata", name+".golden")
			if *update {
				if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
					t.Fatal(err)
				}
			}
			want, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			if got != string(want) {
				t.Errorf("%s: the scenario differs from the golden file; got\n%s", path, got)
			}
		})
	}
}

// describeSite describes what a seed has drawn: the first server and node in full, and a hash of all.
func describeSite(site *Site) string {
	var b strings.Builder
	hash := fnv.New64a()
	for i := range site.Servers {
		s := &site.Servers[i]
		line := fmt.Sprintf("server %s tier %d kind %s zone %d rack %d speed %v cold %v capacity %v size %v unit %+v\n",
			s.Name, s.Tier, s.MachineType.Name, s.Zone, s.Rack, s.Speed, s.WarmUpTime, s.Capacity, s.AdvertisedCapacity(), site.DisruptionUnit(i).Capacity)
		fmt.Fprint(hash, line)
		if i == 0 {
			b.WriteString(line)
		}
	}
	for i, n := range site.Nodes {
		line := fmt.Sprintf("node %s tier %d zone %d index %d owner %d settings %s\n", n.Name, n.TargetTier, n.Zone, n.Index, n.OwnerServer, site.NodeSettings(i))
		fmt.Fprint(hash, line)
		if i == 0 {
			b.WriteString(line)
		}
		if i == 50 {
			break // the many nodes of labs/scale.toml have similar settings
		}
	}
	fmt.Fprintf(&b, "work %v calls %v mean work %v\nhash %x\n", site.MeanClassWork, site.MeanCalls, site.MeanWork(0), hash.Sum64())
	return b.String()
}
