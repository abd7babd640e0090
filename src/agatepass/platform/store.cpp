#include "agatepass/platform/store.h"

namespace agatepass::platform {

std::string_view OutcomeName(Outcome outcome) {
  switch (outcome) {
    case Outcome::kDone:
      return "done";
    case Outcome::kRefused:
      return "refused";
    case Outcome::kNotSent:
      return "not sent";
    case Outcome::kUnknown:
      break;
  }
  return "unknown";
}

base::ResultCode StoreResultCode(Outcome outcome, base::ResultCode refusal) {
  switch (outcome) {
    case Outcome::kDone:
      return base::ResultCode::kOk;
    case Outcome::kRefused:
      return refusal;
    case Outcome::kNotSent:
      return base::ResultCode::kStoreUnreachable;
    case Outcome::kUnknown:
      break;
  }
  return base::ResultCode::kOutcomeUnknown;
}

}  // namespace agatepass::platform
