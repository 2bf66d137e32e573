package config

import (
	"strconv"

	"go.yaml.in/yaml/v3"
)

// lines maps the path of a YAML node, such as models.3.size, to its line number.
type lines map[string]int

// nodeLines returns the line number of each YAML node in text. For text that does not
// parse the map is empty: the decoder has already returned an error for it.
func nodeLines(text []byte) lines {
	var doc yaml.Node
	ls := lines{}
	if yaml.Unmarshal(text, &doc) != nil || len(doc.Content) == 0 {
		return ls
	}
	ls.walk("", doc.Content[0])
	return ls
}

func (ls lines) walk(path string, n *yaml.Node) {
	ls[path] = n.Line
	switch n.Kind {
	case yaml.MappingNode:
		for i := 0; i+1 < len(n.Content); i += 2 {
			ls.walk(joinPath(path, n.Content[i].Value), n.Content[i+1])
		}
	case yaml.SequenceNode:
		for i, c := range n.Content {
			ls.walk(joinPath(path, strconv.Itoa(i)), c)
		}
	}
}

func joinPath(path, part string) string {
	if path == "" {
		return part
	}
	return path + "." + part
}

// at returns the line number of a path, or that of its nearest parent in the text.
func (ls lines) at(path string) int {
	for {
		if l, ok := ls[path]; ok {
			return l
		}
		cut := lastDot(path)
		if cut < 0 {
			return ls[""]
		}
		path = path[:cut]
	}
}

func lastDot(s string) int {
	for i := len(s) - 1; i >= 0; i-- {
		if s[i] == '.' {
			return i
		}
	}
	return -1
}
