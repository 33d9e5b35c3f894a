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
    /// Start of the wait, before any hand-over between dispatchers.
    Milliseconds arrival;
    Milliseconds target;
};

/// Bounded queue: workspaces share each class by start-time fair queueing with unit cost, and
/// across classes the earliest (arrival + target) goes first. Thread safety: none.
class FairQueue
{
public:
    explicit FairQueue(std::size_t maxPerClass);

    /// Adds an entry. If its class is then over its bound, removes the newest entry of the
    /// workspace with the most entries and returns it; that may be the added one. A single busy
    /// workspace thus cannot keep the others out.
    std::optional<RequestId> push(const QueueEntry &entry);
    /// Returns the entry that pop() would remove, or nothing if the queue is empty.
    std::optional<RequestId> front();
    /// Removes the next entry and returns it, or nothing if the queue is empty.
    std::optional<RequestId> pop();
    /// Removes one entry, given by the values with which it was added. Unknown ones are ignored.
    void remove(const QueueEntry &entry);
    /// Empties the queue and returns the requests in the order of pop().
    std::vector<RequestId> drain();

    std::size_t size() const { return m_size; }
    std::size_t sizeOf(ClassId workClass) const;
    std::vector<ClassId> classes() const;
    /// Returns how many of the present entries are expected to leave before a new one: in its class
    /// up to as many of each other workspace as of its own, and in other classes those that are due
    /// earlier, estimated from the oldest.
    std::size_t countAhead(const QueueEntry &entry, Milliseconds now) const;

private:
    /// Arrival and a sequence number that keeps equal arrivals in order.
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
        /// Start tag of the entry that left last.
        std::uint64_t virtualTime = 0;
        std::size_t size = 0;
    };

    static std::map<WorkspaceId, WorkspaceQueue>::iterator nextWorkspace(ClassQueue &queue);
    ClassQueue *nextClass();
    void erase(ClassQueue &queue, std::map<WorkspaceId, WorkspaceQueue>::iterator workspace,
               std::map<Position, RequestId>::iterator entry);
    static void dropIdleWorkspaces(ClassQueue &queue);
    static std::size_t countHousesAhead(const ClassQueue &queue, WorkspaceId workspace);
    static std::size_t countDueBefore(const ClassQueue &queue, Milliseconds due, Milliseconds now);

    std::size_t m_maxPerClass;
    std::map<ClassId, ClassQueue> m_classes;
    std::size_t m_size = 0;
    std::uint64_t m_sequence = 0;
};

} // namespace damaskhall
