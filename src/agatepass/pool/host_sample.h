/** \file
 * Choice of some hosts to talk to or to tell others of. With each host talking
 * to all others, and each answer naming all hosts, traffic would grow with the
 * third power of their number.
 */
#ifndef AGATEPASS_POOL_HOST_SAMPLE_H_
#define AGATEPASS_POOL_HOST_SAMPLE_H_

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <random>
#include <span>
#include <vector>

#include "agatepass/base/http_message.h"

namespace agatepass::pool {

/** Returns hosts drawn at random, each at most once.
 *
 * \code
 * for (const base::Endpoint& host : SampleHosts(known, 5, random)) Ask(host);
 * \endcode
 *
 * \param hosts hosts to draw from.
 * \param max_count maximum number of hosts to draw.
 * \param random source of random numbers. */
template <std::uniform_random_bit_generator Random>
std::vector<base::Endpoint> SampleHosts(std::span<const base::Endpoint> hosts,
                                        size_t max_count, Random& random) {
  std::vector<base::Endpoint> drawn;
  drawn.reserve(std::min(max_count, hosts.size()));
  std::sample(hosts.begin(), hosts.end(), std::back_inserter(drawn), max_count,
              random);
  return drawn;
}

}  // namespace agatepass::pool

#endif  // AGATEPASS_POOL_HOST_SAMPLE_H_
