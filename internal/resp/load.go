package resp

import (
	"math"
	"strconv"
	"strings"

	"marlstage/policy"
)

// UnknownUtilization is the utilization in a load report that gives none.
const UnknownUtilization = -1

func unknownLoad() policy.LoadReport {
	return policy.LoadReport{Utilization: UnknownUtilization}
}

// parseLoadReport reads a load report, a list of name=value separated by commas. It skips what it
// doesn't know and what is not a number of 0 or more.
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
