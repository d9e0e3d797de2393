package place

import "rhubarbpoint/upstream"

// choiceTrace records what a choice compared. A nil *choiceTrace records nothing.
type choiceTrace struct {
	estimates map[upstream.Incarnation]comparison
}

// comparison holds the estimates by which a choice ranked one replica, in milliseconds.
type comparison struct{ score, waitMs, firstMs float64 }

func (t *choiceTrace) compared(r *upstream.Replica, score, waitMs, firstMs float64) {
	if t != nil {
		t.estimates[r.Incarnation()] = comparison{score, waitMs, firstMs}
	}
}
