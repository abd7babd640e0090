/** \file
 * The network thread's side of the peer network.
 */
#ifndef AGATEPASS_PEERS_PEER_REACTOR_H_
#define AGATEPASS_PEERS_PEER_REACTOR_H_

#include <memory>

#include "agatepass/peers/peer_mailbox.h"

namespace agatepass::peers {

/** Carries messages until a StopCommand arrives.
 *
 * \param loop where received messages are posted.
 * \param listen_descriptor the listening socket, which it takes over.
 */
void RunPeerReactor(base::EventLoop& loop, const PeerNetworkOptions& options,
                    const std::shared_ptr<PeerMailbox>& mailbox,
                    int listen_descriptor);

}  // namespace agatepass::peers

#endif  // AGATEPASS_PEERS_PEER_REACTOR_H_
