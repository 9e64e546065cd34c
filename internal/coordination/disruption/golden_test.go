package disruption

import (
	"reflect"
	"testing"

	"umberbank/internal/golden"
	"umberbank/internal/stricttoml"
)

// The golden files were written by the build of revision f63bdca.
func TestGoldenForms(t *testing.T) {
	golden.RoundTripFull[Permit](t, "testdata/permit.json")
	golden.RoundTripFull[Usage](t, "testdata/use.json")
	golden.RoundTripFull[UnavailableUnit](t, "testdata/out.json")
	fromJSON := golden.RoundTrip[Limits](t, "testdata/limits.json")
	if err := fromJSON.Validate(); err != nil {
		t.Error(err)
	}
	var fromTOML Limits
	if err := stricttoml.Decode("limits.toml", golden.Read(t, "testdata/limits.toml"), &fromTOML); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(fromJSON, fromTOML) {
		t.Errorf("limits as JSON %+v, and as TOML %+v", fromJSON, fromTOML)
	}
	if web := fromTOML.Tiers[0]; web.Tier != "web" || *web.Total != 0.6 || *web.Zone != 1 || *web.Region != 0.9 || *web.Rack != 1 {
		t.Errorf("decoded limit of tier web: %+v", web)
	}
}
