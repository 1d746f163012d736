package rollout

import "time"

// Bounds are the settings of rollouts.
type Bounds struct {
	// A bad version gets at most Share of the requests of its service, plus Slack.
	Share, Slack float64
	// Rollback is the time after which a bad version must get no more requests.
	Rollback time.Duration
}

const (
	// exposureReserve is the share of the bound that is used. The rest covers requests that
	// were sent before an instance learned of the order, and calls in Moving until a
	// version that turns bad is rolled back.
	exposureReserve = 0.8
	// Parts of the duration of a rollout. Until loadFrom permits are handed out evenly;
	// then the rest at once, so that the version is seen under load. It is judged good from
	// goodFrom on, by fewer replies from relaxedFrom on, and must be completed in the last finishShare of the duration.
	loadFrom    = 0.45
	goodFrom    = 0.75
	relaxedFrom = 0.83
	finishShare = 0.25
	maxFinish   = 4 * time.Second
	// evenShare is the part of the exposure that the even phase gets of the share, and
	// firstSlack and evenSlack of the slack at its begin and end.
	evenShare  = 0.6
	firstSlack = 0.15
	evenSlack  = 0.45
	// maxTrialShare and minTrial bound the permits by the service's requests, so that the
	// old version has replies to compare with also where the slack is large.
	maxTrialShare = 0.6
	minTrial      = 3
	// loadReplies is the number of replies that the phase under load must bring, and
	// loadPeriod the time after which it ends without.
	loadReplies = 10
	loadPeriod  = 2 * time.Second
	// RenewInterval is how often the record is written at least, and LapseAfter the time
	// after which another instance takes over a record that was not.
	RenewInterval = 2 * time.Second
	LapseAfter    = 5 * time.Second
	// settlePeriod is how long a version must look bad before it is judged so. Meanwhile
	// no permits are granted. Bad replies of the new version are told at once, those of the
	// old one with the next request for permits: when all servers turn slow, the new
	// version's come first.
	settlePeriod = 1200 * time.Millisecond
	// judgeInterval is the shortest time between two looks at the replies.
	judgeInterval = 100 * time.Millisecond
	// writePause is the shortest time between two writes that only raise the exposure, and
	// after one that failed; raisePause is the same where it rises by little.
	writePause = 300 * time.Millisecond
	raisePause = time.Second
	// movingPeriod is how long all first calls go to the new version before the old one
	// gets none at all, and movingBound how long an instance is waited for that does not
	// confirm.
	movingPeriod = time.Second
	movingBound  = time.Second
	// lastMoment is how long before the deadline a rollout is completed although not all
	// instances have confirmed that they have no calls to the old version.
	lastMoment = 500 * time.Millisecond
	// waitPerProcess spreads the requests for permits that can't be granted, and
	// maxAskWait bounds that.
	waitPerProcess = 25 * time.Millisecond
	minAskWait     = 150 * time.Millisecond
	maxAskWait     = 1500 * time.Millisecond
)

// bound returns how many first calls the new version may get for as many requests as are
// known of.
func (c *Controller) bound() float64 {
	return exposureReserve * (c.bounds.Share*float64(c.evidence.requests) + c.bounds.Slack)
}

// pace returns how many first calls the new version should have got at a time.
func (c *Controller) pace(at time.Time) float64 {
	requests := float64(c.evidence.requests)
	pace := c.bound()
	if t := float64(c.elapsed(at)) / max(1, float64(c.part(loadFrom))); t < 1 {
		even := evenShare*c.bounds.Share*requests + c.bounds.Slack*(firstSlack+(evenSlack-firstSlack)*max(0, t))
		pace = min(pace, exposureReserve*even)
	}
	return min(pace, minTrial+maxTrialShare*requests)
}
