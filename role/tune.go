package role

import (
	"os"
	"strconv"
	"strings"
)

var tune = func() (v [8]float64) {
	v = [8]float64{0.5, 8, 1, 0.4, 6, 1, 0.1}
	if os.Getenv("RTUNE") == "" {
		return v
	}
	for i, s := range strings.Split(os.Getenv("RTUNE"), ",") {
		v[i], _ = strconv.ParseFloat(s, 64)
	}
	return v
}()
