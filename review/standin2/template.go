package main

import (
	"encoding/json"
	"fmt"
	"regexp"
	"strconv"
	"strings"
)

var (
	section = regexp.MustCompile(`(?s)\{\{#([a-z_.0-9]+)\}\}(.*?)\{\{/([a-z_.0-9]+)\}\}`)
	gap     = regexp.MustCompile(`\{\{([a-z_.0-9]+)(\|json)?\}\}`)
)

// fill fills the gaps of a settings template from a machine's fields, as far as the templates of the deploy file need it.
func fill(template string, fields map[string]any) string {
	template = section.ReplaceAllStringFunc(template, func(text string) string {
		parts := section.FindStringSubmatch(text)
		if _, given := lookUp(fields, parts[1]); !given {
			return ""
		}
		return parts[2]
	})
	return gap.ReplaceAllStringFunc(template, func(text string) string {
		parts := gap.FindStringSubmatch(text)
		value, given := lookUp(fields, parts[1])
		switch {
		case !given:
			return ""
		case parts[2] == "":
			return fmt.Sprint(value)
		}
		encoded, err := json.Marshal(value)
		if err != nil {
			panic(err) // The fields are plain values.
		}
		return string(encoded)
	})
}

// lookUp returns the value at a path such as "internal_ports.0".
func lookUp(fields map[string]any, path string) (value any, given bool) {
	value = fields
	for name := range strings.SplitSeq(path, ".") {
		switch held := value.(type) {
		case map[string]any:
			if value, given = held[name]; !given {
				return nil, false
			}
		case []int:
			position, err := strconv.Atoi(name)
			if err != nil || position >= len(held) {
				return nil, false
			}
			value = held[position]
		default:
			return nil, false
		}
	}
	return value, true
}
