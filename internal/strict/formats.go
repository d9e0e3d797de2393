package strict

import (
	"net/netip"
	"regexp"
)

// format is a named rule for strings and the text that describes it to operators.
type format struct {
	match func(string) bool
	want  string
}

var formats = map[string]format{
	"routes":   {pattern(`^(document|platform)$`), "document or platform"},
	"name":     {pattern(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`), "1 to 63 lower-case letters, digits and inner hyphens"},
	"label":    {pattern(`^[A-Za-z0-9][A-Za-z0-9._/:@-]{0,127}$`), "1 to 128 letters, digits and ._/:@-, starting with a letter or digit"},
	"text":     {func(s string) bool { return s != "" && len(s) <= 256 }, "a string of 1 to 256 bytes"},
	"addrport": {isAddrPort, `IP:port, such as "10.0.0.1:8080"`},
	"sha256":   {pattern(`^[0-9a-f]{64}$`), "64 lower-case hexadecimal digits"},
	"method":   {pattern(`^(GET|HEAD|POST|PUT|PATCH|DELETE|OPTIONS)$`), "one of GET, HEAD, POST, PUT, PATCH, DELETE, OPTIONS"},
	"path":     {pattern(`^/[!-~]{0,255}$`), `a path that starts with "/", of up to 256 printable ASCII characters`},
}

// FormatDescription returns the description of a named format, for the reference of the configuration.
func FormatDescription(name string) string { return formats[name].want }

func pattern(expression string) func(string) bool { return regexp.MustCompile(expression).MatchString }

// isAddrPort requires a port above 0: with port 0, the operating system picks a port, which the other processes cannot
// know.
func isAddrPort(text string) bool {
	ap, err := netip.ParseAddrPort(text)
	return err == nil && ap.Port() > 0
}
