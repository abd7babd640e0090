#include "agatepass/jobs/effects.h"

namespace agatepass::jobs {

std::string_view TaskFateName(TaskFate fate) {
  switch (fate) {
    case TaskFate::kNotRun:
      return "not run";
    case TaskFate::kRunning:
      return "running";
    case TaskFate::kHasRun:
      return "has run";
    case TaskFate::kUnknown:
      return "unknown";
  }
  return "unknown";
}

std::string_view JobEventKindName(JobEventKind kind) {
  switch (kind) {
    case JobEventKind::kAccepted:
      return "accepted";
    case JobEventKind::kRefused:
      return "refused";
    case JobEventKind::kEnded:
      return "ended";
    case JobEventKind::kCancelled:
      return "cancelled";
    case JobEventKind::kInDoubt:
      return "in doubt";
    case JobEventKind::kSettled:
      return "settled";
    case JobEventKind::kAdopted:
      return "adopted";
    case JobEventKind::kAdoptionLost:
      return "adoption lost";
    case JobEventKind::kFenced:
      return "fenced";
    case JobEventKind::kStoreContentChanged:
      return "store content changed";
    case JobEventKind::kForgotten:
      return "forgotten";
  }
  return "unknown";
}

}  // namespace agatepass::jobs
