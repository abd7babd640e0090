/** \file
 * Which upstream a request goes to: the nearest with room, least outstanding
 * of two.
 */
#ifndef AGATEPASS_RELAY_UPSTREAM_CHOICE_H_
#define AGATEPASS_RELAY_UPSTREAM_CHOICE_H_

#include <cstddef>
#include <optional>
#include <random>
#include <span>

#include "agatepass/relay/upstream.h"

namespace agatepass::relay {

/** One upstream that may take a request. */
struct Candidate {
  /** The caller's own index of the upstream. */
  size_t index = 0;
  Distance distance = Distance::kSameDataCentre;
  /** Requests there from this entry host. */
  int outstanding = 0;
  /** Requests that this entry host may have there. */
  int share = 0;
  /** Less than 1 for upstreams that are slow. */
  double weight = 1;
};

/** Draws two of the nearest candidates with room, by share and weight, and
 * returns the index of the one less filled; nothing if none has room.
 *
 * \code
 * if (auto index = ChooseUpstream(candidates, random)) Send(*index);
 * \endcode
 */
std::optional<size_t> ChooseUpstream(std::span<const Candidate> candidates,
                                     std::mt19937_64& random);

}  // namespace agatepass::relay

#endif  // AGATEPASS_RELAY_UPSTREAM_CHOICE_H_
