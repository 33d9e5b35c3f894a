#include "core/dispatch/fairqueue.h"

#include <algorithm>
#include <iterator>

namespace damaskhall {

FairQueue::FairQueue(std::size_t maxPerClass)
    : m_maxPerClass(maxPerClass)
{
}

std::optional<RequestId> FairQueue::push(const QueueEntry &entry)
{
    ClassQueue &queue = m_classes[entry.workClass];
    queue.target = entry.target;
    WorkspaceQueue &workspace = queue.workspaces[entry.workspace];
    if (workspace.entries.empty()) {
        workspace.startTag = std::max(workspace.startTag, queue.virtualTime);
    }
    workspace.entries.emplace(Position(entry.arrival, m_sequence++), entry.request);
    ++queue.size;
    ++m_size;
    if (queue.size <= m_maxPerClass) {
        return std::nullopt;
    }
    const auto largest = std::max_element(
            queue.workspaces.begin(), queue.workspaces.end(), [](const auto &a, const auto &b) {
                return a.second.entries.size() < b.second.entries.size();
            });
    const auto newest = std::prev(largest->second.entries.end());
    const RequestId evicted = newest->second;
    erase(queue, largest, newest);
    return evicted;
}

std::optional<RequestId> FairQueue::front()
{
    ClassQueue *queue = nextClass();
    if (!queue) {
        return std::nullopt;
    }
    return nextWorkspace(*queue)->second.entries.begin()->second;
}

std::optional<RequestId> FairQueue::pop()
{
    ClassQueue *queue = nextClass();
    if (!queue) {
        return std::nullopt;
    }
    const auto workspace = nextWorkspace(*queue);
    const auto entry = workspace->second.entries.begin();
    const RequestId request = entry->second;
    queue->virtualTime = workspace->second.startTag;
    ++workspace->second.startTag;
    erase(*queue, workspace, entry);
    return request;
}

FairQueue::ClassQueue *FairQueue::nextClass()
{
    ClassQueue *best = nullptr;
    Milliseconds bestDue;
    for (auto &[id, queue] : m_classes) {
        if (queue.size == 0) {
            continue;
        }
        const Milliseconds arrival = nextWorkspace(queue)->second.entries.begin()->first.first;
        const Milliseconds due = arrival + queue.target;
        if (!best || due < bestDue) {
            best = &queue;
            bestDue = due;
        }
    }
    return best;
}

void FairQueue::remove(const QueueEntry &entry)
{
    const auto queue = m_classes.find(entry.workClass);
    if (queue == m_classes.end()) {
        return;
    }
    const auto workspace = queue->second.workspaces.find(entry.workspace);
    if (workspace == queue->second.workspaces.end()) {
        return;
    }
    auto &entries = workspace->second.entries;
    for (auto it = entries.lower_bound(Position(entry.arrival, 0)); it != entries.end(); ++it) {
        if (it->first.first != entry.arrival) {
            return;
        }
        if (it->second == entry.request) {
            erase(queue->second, workspace, it);
            return;
        }
    }
}

std::vector<RequestId> FairQueue::drain()
{
    std::vector<RequestId> requests;
    while (const auto request = pop()) {
        requests.push_back(*request);
    }
    return requests;
}

std::size_t FairQueue::sizeOf(ClassId workClass) const
{
    const auto queue = m_classes.find(workClass);
    return queue == m_classes.end() ? 0 : queue->second.size;
}

std::vector<ClassId> FairQueue::classes() const
{
    std::vector<ClassId> ids;
    for (const auto &[id, queue] : m_classes) {
        ids.push_back(id);
    }
    return ids;
}

std::size_t FairQueue::countAhead(const QueueEntry &entry, Milliseconds now) const
{
    const Milliseconds due = entry.arrival + entry.target;
    std::size_t ahead = 0;
    for (const auto &[id, queue] : m_classes) {
        const bool isOwn = id == entry.workClass;
        ahead +=
                isOwn ? countAheadInClass(queue, entry.workspace) : countDueBefore(queue, due, now);
    }
    return ahead;
}

std::size_t FairQueue::countAheadInClass(const ClassQueue &queue, WorkspaceId workspace)
{
    const auto own = queue.workspaces.find(workspace);
    const std::size_t ownSize = own == queue.workspaces.end() ? 0 : own->second.entries.size();
    std::size_t ahead = 0;
    for (const auto &[other, entries] : queue.workspaces) {
        ahead += std::min(entries.entries.size(), other == workspace ? ownSize : ownSize + 1);
    }
    return ahead;
}

std::size_t FairQueue::countDueBefore(const ClassQueue &queue, Milliseconds due, Milliseconds now)
{
    Milliseconds oldest = now;
    for (const auto &[id, workspace] : queue.workspaces) {
        if (!workspace.entries.empty()) {
            oldest = std::min(oldest, workspace.entries.begin()->first.first);
        }
    }
    const Milliseconds newestAhead = std::min(due - queue.target, now);
    if (newestAhead <= oldest) {
        return 0;
    }
    // Assumes that arrivals are evenly distributed between the oldest one and now.
    const double share = static_cast<double>((newestAhead - oldest).value) /
                         static_cast<double>((now - oldest).value);
    return static_cast<std::size_t>(share * static_cast<double>(queue.size));
}

std::map<WorkspaceId, FairQueue::WorkspaceQueue>::iterator
FairQueue::nextWorkspace(ClassQueue &queue)
{
    auto best = queue.workspaces.end();
    for (auto it = queue.workspaces.begin(); it != queue.workspaces.end(); ++it) {
        if (it->second.entries.empty()) {
            continue;
        }
        const auto rank = [](const WorkspaceQueue &workspace) {
            return std::pair(workspace.startTag, workspace.entries.begin()->first);
        };
        if (best == queue.workspaces.end() || rank(it->second) < rank(best->second)) {
            best = it;
        }
    }
    return best;
}

void FairQueue::erase(ClassQueue &queue, std::map<WorkspaceId, WorkspaceQueue>::iterator workspace,
                      std::map<Position, RequestId>::iterator entry)
{
    workspace->second.entries.erase(entry);
    --queue.size;
    --m_size;
    dropIdleWorkspaces(queue);
}

void FairQueue::dropIdleWorkspaces(ClassQueue &queue)
{
    // An empty workspace whose start tag has been reached would get the same tag when it returns.
    std::erase_if(queue.workspaces, [&](const auto &item) {
        return item.second.entries.empty() && item.second.startTag <= queue.virtualTime;
    });
}

} // namespace damaskhall
