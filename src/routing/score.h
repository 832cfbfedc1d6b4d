// Expected time to a target's response, from the estimates of the production
// router. Internal to this library.
#pragma once

#include "routing/estimate.h"
#include "routing/routing.h"

namespace sassafrasquay {

// Share of requests relative to a warm target in full use: 1 unless the target
// is in slow start or cold start.
double
ShareOf(const TargetEstimate& aEstimate,
        const RouterSettings& aSettings,
        TimePoint aNow);

// Estimated service time of a target, in seconds. The reported latency is used
// until the first response. aTypicalLatency: average of the service, in
// seconds.
double
LatencyOf(const TargetEstimate& aEstimate,
          double aTypicalLatency,
          const RouterSettings& aSettings,
          TimePoint aNow);

// aInFlight: requests of this node at the target.
ScoreParts
ScoreTarget(const TargetEstimate& aEstimate,
            uint32_t aInFlight,
            const ServiceAverages& aAverages,
            const RouterSettings& aSettings,
            TimePoint aNow);

} // namespace sassafrasquay
