#include "node/controlworker.h"

#include "config/declarationparser.h"

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>
#include <utility>

namespace damaskhall {

namespace {

constexpr std::chrono::milliseconds PollInterval{250};
constexpr Milliseconds PlatformTimeout = 1_s;
constexpr const char *DeclarationKey = "declaration";

} // namespace

struct ControlWorker::Private
{
    Private(const ControlOptions &controlOptions, Publisher publisher)
        : options(controlOptions)
        , publish(std::move(publisher))
        , platform(controlOptions.platform, PlatformTimeout)
    {
    }

    void run()
    {
        while (!isStopping) {
            poll();
            std::unique_lock lock(mutex);
            wake.wait_for(lock, PollInterval, [this] { return isStopping.load(); });
        }
    }

    void poll()
    {
        registerSelf();
        readDeclaration();
        const auto instances = platform.instances();
        if (instances) {
            publish(buildView(instances.assume_value()));
        }
    }

    void registerSelf()
    {
        PlatformInstance self;
        self.id = options.self.value;
        self.role = "balancer";
        self.endpoint = options.listen;
        self.dataCentre = options.dataCentre;
        self.incarnation = options.incarnation.value;
        self.isLeaving = isLeaving;
        // A failed registration is repeated with the next poll.
        static_cast<void>(platform.registerInstance(self));
    }

    void readDeclaration()
    {
        const auto value = platform.read(DeclarationKey);
        if (!value || value.assume_value().version == 0) {
            return;
        }
        const auto json = nlohmann::json::parse(value.assume_value().value, nullptr, false);
        if (!json.is_object() || json.value("revision", 0U) <= declaration->revision.value) {
            return;
        }
        auto parsed = parseDeclaration(json.value("declaration", ""), DeclarationKey);
        if (parsed) {
            parsed.assume_value().revision = Revision{json.value("revision", 0U)};
            declaration = std::make_shared<const Declaration>(std::move(parsed.assume_value()));
        }
    }

    std::shared_ptr<const RoutingView> buildView(const std::vector<PlatformInstance> &instances)
    {
        auto view = std::make_shared<RoutingView>();
        view->self = options.self;
        view->declaration = declaration;
        for (const PlatformInstance &instance : instances) {
            if (instance.dataCentre != options.dataCentre) {
                continue;
            }
            if (instance.role == "balancer") {
                view->members.push_back(
                        {InstanceId{static_cast<std::uint32_t>(instance.id)}, instance.endpoint,
                         Incarnation{instance.incarnation},
                         instance.isLeaving ? MemberState::Leaving : MemberState::Alive});
            } else {
                const UpstreamId id{instance.id};
                view->upstreams[id] = {id, instance.endpoint, serviceId(instance.service),
                                       instance.isLeaving ? UpstreamState::Leaving
                                                          : UpstreamState::Live};
            }
        }
        return view;
    }

    ControlOptions options;
    Publisher publish;
    PlatformClient platform;
    std::shared_ptr<const Declaration> declaration = std::make_shared<const Declaration>();
    std::atomic<bool> isLeaving = false;
    std::atomic<bool> isStopping = false;
    std::mutex mutex;
    std::condition_variable wake;
    std::thread thread;
};

ControlWorker::ControlWorker(const ControlOptions &options, Publisher publish)
    : m_d(std::make_unique<Private>(options, std::move(publish)))
{
}

ControlWorker::~ControlWorker()
{
    stop();
}

void ControlWorker::start()
{
    m_d->thread = std::thread([d = m_d.get()] { d->run(); });
}

void ControlWorker::beginLeaving()
{
    m_d->isLeaving = true;
}

void ControlWorker::stop()
{
    m_d->isStopping = true;
    m_d->wake.notify_all();
    if (m_d->thread.joinable()) {
        m_d->thread.join();
    }
}

} // namespace damaskhall
