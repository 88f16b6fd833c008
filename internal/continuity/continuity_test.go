package continuity

import (
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

const addr = "10.0.0.1:80"

func TestConnectionsAreNumberedInOrder(t *testing.T) {
	c := New()
	assert.Equal(t, c.Newest(), Number(0))
	assert.Equal(t, c.Opened(), Number(1))
	assert.Equal(t, c.Opened(), Number(2))
	assert.Equal(t, c.Newest(), Number(2))
}

// TestAnswersLinkConnections checks what answers on earlier connections prove of later ones.
func TestAnswersLinkConnections(t *testing.T) {
	type answer struct{ conn, sent Number }
	for name, c := range map[string]struct {
		answers     []answer
		conn, bound Number
		want        bool
	}{
		"opened before":                                 {nil, 3, 3, true},
		"opened after":                                  {nil, 4, 3, false},
		"an earlier one has answered since":             {[]answer{{2, 4}}, 4, 3, true},
		"an earlier one has answered before":            {[]answer{{2, 3}}, 4, 3, false},
		"only the later one has answered":               {[]answer{{4, 6}}, 4, 3, false},
		"linked by one between":                         {[]answer{{3, 5}, {5, 7}}, 7, 3, true},
		"the one between is not linked":                 {[]answer{{3, 4}, {5, 7}}, 7, 3, false},
		"a gap is not closed later":                     {[]answer{{2, 4}, {6, 9}, {8, 12}}, 9, 3, false},
		"an answer from before the gap comes late":      {[]answer{{6, 9}, {2, 4}}, 9, 3, false},
		"an answer to a request before its own opening": {[]answer{{5, 5}}, 5, 3, false},
		"no connection is known to be opened before":    {[]answer{{1, 4}}, 4, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			conns := New()
			conns.Watch(addr)
			for _, a := range c.answers {
				conns.Answered(addr, a.conn, a.sent)
			}
			assert.Equal(t, conns.Reaches(addr, c.conn, c.bound), c.want)
		})
	}
}

func TestAnswersOfOtherAddressesDoNotCount(t *testing.T) {
	c := New()
	c.Watch(addr)
	c.Answered("10.0.0.2:80", 1, 5)
	assert.Assert(t, !c.Reaches(addr, 4, 2))
	assert.Assert(t, !c.Reaches("10.0.0.2:80", 4, 2))
	c.Answered(addr, 1, 5)
	assert.Assert(t, c.Reaches(addr, 4, 2))
	c.Forget(addr)
	assert.Assert(t, !c.Reaches(addr, 4, 2))
}

// TestReachesNoLaterIncarnation draws incarnations of a server, connections and answers, and checks that no connection that works counts
// as leading to the incarnation of a moment if it leads to another one.
func TestReachesNoLaterIncarnation(t *testing.T) {
	linked := 0
	for seed := range uint64(500) {
		rng := rand.New(rand.NewPCG(seed, 0))
		c := New()
		c.Watch(addr)
		present, open := 0, map[Number]int{}
		var numbers []Number
		type moment struct {
			bound       Number
			incarnation int
		}
		var moments []moment
		var late []func()
		for range 200 {
			switch rng.IntN(10) {
			case 0:
				present++
			case 1, 2, 3:
				n := c.Opened()
				open[n] = present
				numbers = append(numbers, n)
			case 4:
				moments = append(moments, moment{c.Newest(), present})
			default:
				if len(numbers) == 0 {
					continue
				}
				n := numbers[len(numbers)-1-rng.IntN(min(len(numbers), 6))]
				if open[n] != present {
					continue
				}
				// The answer to a request that is sent now arrives at once or later.
				sent := c.Newest()
				late = append(late, func() { c.Answered(addr, n, sent) })
				for len(late) > 0 && rng.IntN(3) > 0 {
					i := rng.IntN(len(late))
					late[i]()
					late = slices.Delete(late, i, i+1)
				}
			}
		}
		for _, m := range moments {
			for _, n := range numbers {
				if open[n] != present || !c.Reaches(addr, n, m.bound) {
					continue
				}
				assert.Equal(t, m.incarnation, present, "seed %d: connection %d, moment %+v", seed, n, m)
				if n > m.bound {
					linked++
				}
			}
		}
	}
	assert.Assert(t, linked > 100, "%d connections were linked by answers", linked)
}
