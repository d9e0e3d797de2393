package strict

import (
	"fmt"
	"reflect"
	"strconv"
	"time"
)

// rules are the rules for a field that its struct tag gives.
type rules struct {
	required    bool
	defaultText string
	min, max    *float64
	minText     string
	maxText     string
	format      string
}

// parseRules parses the tag of a field; it panics if the tag is invalid. Bounds of durations are in nanoseconds.
func parseRules(f reflect.StructField) rules {
	r := rules{
		required:    f.Tag.Get("required") == "true",
		defaultText: f.Tag.Get("default"),
		minText:     f.Tag.Get("min"),
		maxText:     f.Tag.Get("max"),
		format:      f.Tag.Get("format"),
	}
	r.min, r.max = parseBound(f, r.minText), parseBound(f, r.maxText)
	if r.format != "" && formats[r.format].match == nil {
		panic("strict: unknown format " + r.format)
	}
	return r
}

func parseBound(f reflect.StructField, text string) *float64 {
	if text == "" {
		return nil
	}
	var number float64
	var err error
	if isDuration(f.Type) {
		var duration time.Duration
		duration, err = time.ParseDuration(text)
		number = float64(duration)
	} else {
		number, err = strconv.ParseFloat(text, 64)
	}
	if err != nil {
		panic("strict: bound of field " + f.Name + ": " + err.Error())
	}
	return &number
}

func (r rules) inRange(number float64) bool {
	return (r.min == nil || number >= *r.min) && (r.max == nil || number <= *r.max)
}

func (r rules) matches(text string) bool { return r.format == "" || formats[r.format].match(text) }

func (r rules) wantText() string {
	if r.format == "" {
		return "a string"
	}
	return formats[r.format].want
}

func (r rules) wantNumber(kind string) string {
	switch {
	case r.minText != "" && r.maxText != "":
		return fmt.Sprintf("%s, %s to %s", kind, r.minText, r.maxText)
	case r.minText != "":
		return fmt.Sprintf("%s, at least %s", kind, r.minText)
	}
	return kind
}

func (r rules) wantItems() string { return "a list with at least " + r.minText }

func (r rules) want(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Slice:
		return r.wantItems()
	case reflect.String:
		return r.wantText()
	}
	return r.wantNumber("a value")
}

// setDefault sets an absent field to its default, and the fields of an absent struct to theirs.
func (r rules) setDefault(to reflect.Value) error {
	switch {
	case to.Kind() == reflect.Struct:
		for _, f := range fieldsOf(to.Type()).byName {
			if err := f.rules.setDefault(to.Field(f.index)); err != nil {
				return err
			}
		}
	case r.defaultText == "":
	case isDuration(to.Type()):
		duration, err := time.ParseDuration(r.defaultText)
		to.SetInt(int64(duration))
		return err
	case to.Kind() == reflect.Float64:
		number, err := strconv.ParseFloat(r.defaultText, 64)
		to.SetFloat(number)
		return err
	case to.Kind() == reflect.String:
		to.SetString(r.defaultText)
	default:
		number, err := strconv.ParseInt(r.defaultText, 10, 64)
		to.SetInt(number)
		return err
	}
	return nil
}
