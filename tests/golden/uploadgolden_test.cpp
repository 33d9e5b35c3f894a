#include "support/goldenfile.h"
#include "support/workshop.h"

#include <gtest/gtest.h>

namespace damaskhall {
namespace {

using namespace tests;

constexpr UpstreamId DeskUpstream{11};
constexpr std::uint32_t BalancerCount = 3;

// An upload in progress at a desk with one upstream.
class UploadGolden : public ::testing::Test
{
protected:
    UploadGolden()
        : session(options(), workshopDeclaration())
    {
        session.addUpstream({DeskUpstream, serviceId("desk"), {}, 2, 20, 0});
        session.runFor(1'100_ms);
    }

    static fakes::SessionOptions options()
    {
        fakes::SessionOptions result;
        result.balancers = BalancerCount;
        result.keepTrace = true;
        return result;
    }

    UploadClient &startUpload()
    {
        const Reserve reservation{RequestId{9},
                                  serviceId("desk"),
                                  classId("desk", "artwork"),
                                  workspaceId("benches"),
                                  10_s,
                                  0_ms};
        return session.startUpload(reservation, std::string(20'000, 'x'));
    }

    void expectStored(const std::string &name, const UploadClient &upload)
    {
        session.runFor(5_s);
        EXPECT_EQ(upload.phase(), UploadPhase::Stored);
        EXPECT_EQ(session.upstream(DeskUpstream).uploads().size(), 1U);
        expectGolden(name, linesWithout(session.trace(), {"Probe"}));
    }

    fakes::Session session;
};

// Guards against an upload that is cut, or stored twice, by the stop of two of three balancers.
TEST_F(UploadGolden, UploadThroughTheStopOfTwoBalancers)
{
    const UploadClient &upload = startUpload();
    session.runFor(6_ms);
    for (std::uint32_t i = 0; i < BalancerCount - 1; ++i) {
        EXPECT_EQ(upload.phase(), UploadPhase::Uploading);
        session.beginLeaving(i);
        session.runFor(1_ms);
    }
    expectStored("upload_stop", upload);
}

// Guards against an upload that starts again or is lost when the balancer that opened it dies.
TEST_F(UploadGolden, UploadThroughTheKillOfTwoBalancers)
{
    const UploadClient &upload = startUpload();
    session.runFor(6_ms);
    EXPECT_EQ(upload.phase(), UploadPhase::Uploading);
    session.killBalancer(0);
    session.killBalancer(1);
    expectStored("upload_kill", upload);
}

} // namespace
} // namespace damaskhall
