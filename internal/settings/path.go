package settings

import "strings"

// maxNameBytes is the largest length of the name of a service, place or zone.
const maxNameBytes = 63

// Root is the path of the tree's root.
const Root = ""

// splitPath returns the names in a path, the service's first. The root has none.
func splitPath(path string) []string {
	if path == Root {
		return nil
	}
	return strings.Split(path, "/")
}

// parentPath returns the path of the parent of a node below the root.
func parentPath(path string) string {
	cut := strings.LastIndexByte(path, '/')
	if cut < 0 {
		return Root
	}
	return path[:cut]
}

// pathLevel returns the level of the node at a valid path.
func pathLevel(path string) level {
	return level(len(splitPath(path)))
}

// validPath reports whether path can name a node.
func validPath(path string) bool {
	names := splitPath(path)
	if len(names) > int(levelZone) {
		return false
	}
	for _, name := range names {
		if !validName(name) {
			return false
		}
	}
	return true
}

// validName reports whether a name consists of 1 to maxNameBytes lower case
// letters, digits and inner hyphens.
func validName(name string) bool {
	if name == "" || len(name) > maxNameBytes {
		return false
	}
	for _, c := range []byte(name) {
		letter := c >= 'a' && c <= 'z'
		digit := c >= '0' && c <= '9'
		if !letter && !digit && c != '-' {
			return false
		}
	}
	return name[0] != '-' && name[len(name)-1] != '-'
}

// tableHeader returns the header of the TOML table of the node at path.
func tableHeader(path string) string {
	names := splitPath(path)
	if len(names) == 0 {
		return "[defaults]"
	}
	var b strings.Builder
	b.WriteString("[service.")
	b.WriteString(names[0])
	for i, name := range names[1:] {
		b.WriteString([]string{".place.", ".zone."}[i])
		b.WriteString(name)
	}
	b.WriteByte(']')
	return b.String()
}

// DisplayPath returns path as shown to people: the root is shown as "defaults".
func DisplayPath(path string) string {
	if path == Root {
		return "defaults"
	}
	return path
}
