/** \file
 * How well one upstream answers: slow ones get less, broken ones only probes.
 */
#ifndef AGATEPASS_RELAY_UPSTREAM_HEALTH_H_
#define AGATEPASS_RELAY_UPSTREAM_HEALTH_H_

#include "agatepass/base/time.h"

namespace agatepass::relay {

/** Running account of the answers of one upstream. */
class UpstreamHealth {
 public:
  /** Notes an answer that took `latency`. */
  void OnAnswer(base::Duration latency);

  /** Notes an attempt without an answer; after several in a row the upstream is
   * ejected, each time for longer. */
  void OnFailure(base::Instant now);

  /** Notes the end of a probe. */
  void OnProbe(bool answered, base::Instant now);

  /** Whether the upstream gets no requests for now. */
  bool ejected() const { return this->is_ejected; }

  /** Whether it is time for a probe of an ejected upstream. */
  bool ProbeDue(base::Instant now) const;

  /** Notes that a probe is on its way. */
  void OnProbeSent() { this->probing = true; }

  /** Average time of an answer; zero before the first. */
  base::Duration latency() const { return this->average; }

  /** Time within which nearly all answers come: the average and four mean
   * deviations. */
  base::Duration likely_time() const {
    return this->average + 4 * this->deviation;
  }

  /** Share of requests to give it, between 0.1 and 1, against an upstream with
   * the latency `typical`. */
  double Weight(base::Duration typical) const;

 private:
  void Eject(base::Instant now);

  base::Duration average{0};
  base::Duration deviation{0};
  int failures_in_a_row = 0;
  int ejections_in_a_row = 0;
  bool is_ejected = false;
  bool probing = false;
  base::Instant probe_at;
};

}  // namespace agatepass::relay

#endif  // AGATEPASS_RELAY_UPSTREAM_HEALTH_H_
