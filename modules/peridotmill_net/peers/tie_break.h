#ifndef PERIDOTMILL_NET_PEERS_TIE_BREAK_H_
#define PERIDOTMILL_NET_PEERS_TIE_BREAK_H_

#include "peridotmill_core/ids/ids.h"
#include "peridotmill_core/units/units.h"

namespace peridotmill {

// What decides between two authenticated connections to one peer.
struct ConnectionRank {
  // The peer's incarnation.
  Incarnation incarnation;
  // The side that opened the connection.
  NodeId dialler;
};

// Whether a connection that was just authenticated replaces an older one. Both
// sides decide alike: a newer process of the peer wins, then the connection
// dialled by the lower id. A dialler has one connection at a time, so of two by
// the same dialler the older one is broken.
inline bool Replaces(const ConnectionRank& next, const ConnectionRank& old) {
  if (next.incarnation != old.incarnation) {
    return next.incarnation > old.incarnation;
  }
  return next.dialler <= old.dialler;
}

}  // namespace peridotmill

#endif  // PERIDOTMILL_NET_PEERS_TIE_BREAK_H_
