package resp

import (
	"math"
	"strconv"
	"strings"

	"marlstage/policy"
)

// UnknownUtilization is the value of LoadReport.Utilization if the report contains no utilization.
const UnknownUtilization = -1

func unknownLoad() policy.LoadReport {
	return policy.LoadReport{Utilization: UnknownUtilization}
}

// parseLoadReport parses a load report, a comma-separated list of name=value. It ignores unknown names
// and values that are not finite numbers of at least 0.
func parseLoadReport(text string) policy.LoadReport {
	load := unknownLoad()
	for _, field := range strings.Split(text, ",") {
		name, number, _ := strings.Cut(field, "=")
		value, err := strconv.ParseFloat(number, 64)
		valid := err == nil && value >= 0 && !math.IsInf(value, 0)
		if !valid {
			continue
		}
		switch name {
		case "busy", "util":
			load.Utilization = value
		case "fail_rate", "eps":
			load.ErrorRate = value
		}
	}
	return load
}
