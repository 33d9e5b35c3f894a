#pragma once

#include "base/ids.h"
#include "base/milliseconds.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace damaskhall {

/// Reservation in a FairQueue.
struct QueueEntry
{
    RequestId request;
    ClassId workClass;
    WorkspaceId workspace;
    /// Start of the wait at the first dispatcher, before any hand-over.
    Milliseconds arrival;
    Milliseconds target;
};

/// Bounded queue: workspaces share each class by start-time fair queueing with unit cost, and
/// across classes the earliest (arrival + target) goes first. Thread safety: none.
class FairQueue
{
public:
    explicit FairQueue(std::size_t maxPerClass);

    /// Adds an entry. If its class then exceeds its bound, evicts the newest entry of the workspace
    /// with the most entries and returns it; that may be the added one. A single busy workspace
    /// thus cannot fill the queue for the others.
    std::optional<RequestId> push(const QueueEntry &entry);
    /// Returns the entry that pop() would remove, or nothing if the queue is empty.
    std::optional<RequestId> front();
    /// Removes the next entry and returns it, or nothing if the queue is empty.
    std::optional<RequestId> pop();
    /// Removes the entry that was added with these values. Unknown entries are ignored.
    void remove(const QueueEntry &entry);
    /// Empties the queue and returns the requests in the order of pop().
    std::vector<RequestId> drain();

    std::size_t size() const { return m_size; }
    std::size_t sizeOf(ClassId workClass) const;
    std::vector<ClassId> classes() const;
    /// Estimates how many queued entries leave before a new one: in its class, its own workspace's
    /// entries and at most one more than that of each other workspace; in other classes, those that
    /// are due earlier, estimated from the oldest entry.
    std::size_t countAhead(const QueueEntry &entry, Milliseconds now) const;

private:
    /// Arrival time and a sequence number that keeps entries with equal times in order.
    using Position = std::pair<Milliseconds, std::uint64_t>;

    struct WorkspaceQueue
    {
        std::map<Position, RequestId> entries;
        std::uint64_t startTag = 0;
    };

    struct ClassQueue
    {
        Milliseconds target;
        std::map<WorkspaceId, WorkspaceQueue> workspaces;
        /// Start tag of the entry that was popped last.
        std::uint64_t virtualTime = 0;
        std::size_t size = 0;
    };

    static std::map<WorkspaceId, WorkspaceQueue>::iterator nextWorkspace(ClassQueue &queue);
    ClassQueue *nextClass();
    void erase(ClassQueue &queue, std::map<WorkspaceId, WorkspaceQueue>::iterator workspace,
               std::map<Position, RequestId>::iterator entry);
    static void dropIdleWorkspaces(ClassQueue &queue);
    static std::size_t countAheadInClass(const ClassQueue &queue, WorkspaceId workspace);
    static std::size_t countDueBefore(const ClassQueue &queue, Milliseconds due, Milliseconds now);

    std::size_t m_maxPerClass;
    std::map<ClassId, ClassQueue> m_classes;
    std::size_t m_size = 0;
    std::uint64_t m_sequence = 0;
};

} // namespace damaskhall
