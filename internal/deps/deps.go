// Package deps keeps the project's chosen libraries in the module file until code uses them.
package deps

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/agext/levenshtein"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/charmbracelet/log"
	_ "github.com/cockroachdb/errors"
	_ "github.com/google/uuid"
	_ "github.com/gorilla/mux"
	_ "github.com/hashicorp/golang-lru/v2"
	_ "github.com/hashicorp/golang-lru/v2/expirable"
	_ "github.com/pelletier/go-toml/v2"
	_ "github.com/pelletier/go-toml/v2/unstable"
	_ "github.com/rogpeppe/go-internal/testscript"
	_ "golang.org/x/time/rate"
	_ "gonum.org/v1/plot"
	_ "gonum.org/v1/plot/plotter"
	_ "gonum.org/v1/plot/vg/draw"
	_ "gonum.org/v1/plot/vg/vgimg"
	_ "gotest.tools/v3/assert"
	_ "pgregory.net/rapid"
)
