package route

import (
	"os"
	"strconv"
	"strings"
)

var tune = func() (v [8]float64) {
	for i, s := range strings.Split(os.Getenv("TUNE"), ",") {
		v[i], _ = strconv.ParseFloat(s, 64)
	}
	return v
}()
