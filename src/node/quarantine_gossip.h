// Passes updates about requests that crash targets between quarantine and
// gossip.
#pragma once

#include "kernel/kernel.h"

namespace sassafrasquay {

// The service "suspect_news". Finds "quarantine"; requires "gossip".
std::shared_ptr<Service>
MakeQuarantineGossip();

} // namespace sassafrasquay
