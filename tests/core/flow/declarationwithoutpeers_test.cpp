#include "support/peercluster.h"

#include <gtest/gtest.h>

namespace damaskhall {
namespace {

using test::PeerCluster;
using test::WatchInterval;

constexpr int Size = 24;
/// Limit within which a declaration is in force; the confirmation interval is a third of it.
constexpr Milliseconds DeclarationLimit = WatchInterval * 3;

// Declarations on instances that exchange nothing with their peers.
class DeclarationWithoutPeers : public ::testing::Test
{
protected:
    DeclarationWithoutPeers() { cluster.events.runUntil(10_s); }

    void runFor(Milliseconds duration) { cluster.events.runUntil(cluster.events.now() + duration); }

    PeerCluster cluster{Size};
};

// Guards against an instance that learns of a declaration only from its peers.
TEST_F(DeclarationWithoutPeers, IsInForceWithinTheLimit)
{
    for (int i = 0; i < Size; ++i) {
        cluster.cutOff.insert(i);
    }
    cluster.declare(2);
    runFor(DeclarationLimit);
    for (int i = 0; i < Size; ++i) {
        EXPECT_EQ(cluster.controller(i).revision(), Revision{2}) << "instance " << i;
    }
}

// Guards against flows of a removed route that never end on an instance without peers: the read
// that proves the removal must be its own.
TEST_F(DeclarationWithoutPeers, IsConfirmedByAnOwnRead)
{
    for (int i = 0; i < Size; ++i) {
        cluster.cutOff.insert(i);
    }
    cluster.declare(2);
    const Milliseconds requested = cluster.events.now();
    for (int i = 0; i < Size; ++i) {
        cluster.controller(i).requestCurrentDeclaration(requested);
    }
    runFor(DeclarationLimit);
    for (int i = 0; i < Size; ++i) {
        const auto state = cluster.controller(i).takeDeclarationState();
        ASSERT_TRUE(state) << "instance " << i;
        EXPECT_EQ(state->confirmed, Revision{2}) << "instance " << i;
        EXPECT_GE(state->confirmedAt, requested) << "instance " << i;
    }
}

} // namespace
} // namespace damaskhall
