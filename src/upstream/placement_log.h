// Log line of an admission decision. Internal to upstream.
#pragma once

#include "admission/admission.h"
#include "call/call.h"
#include "logging/logging.h"

namespace sassafrasquay {

// Writes the line unless the sampling of decisions leaves it out. aLoadAge: age
// of the target's last load report.
void
LogPlacement(Logger& aLogger,
             const RequestHead& aHead,
             const AdmissionResult& aResult,
             const LoadReport& aLoad,
             Duration aLoadAge);

} // namespace sassafrasquay
