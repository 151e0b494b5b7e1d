package resp

import "testing"

func TestParseLoadReport(t *testing.T) {
	l := parseLoadReport("inflight=7,util=0.61,eps=2,queue=NaN")
	if l.Utilization != 0.61 || l.ErrorRate != 2 {
		t.Errorf("load %+v", l)
	}
	if l := parseLoadReport("util=-1"); l.Utilization != -1 {
		t.Errorf("an invalid number gave %+v", l)
	}
}
