#include "persimmondoor/workflow/Catalog.h"

namespace persimmondoor::workflow {

const Queue* Catalog::find(std::string_view host, std::string_view path) const
{
    const Queue* best = nullptr;
    for (const Queue& queue : queues_) {
        bool matches = queue.host_ == host && path.substr(0, queue.prefix_.size()) == queue.prefix_;
        if (matches && (!best || queue.prefix_.size() > best->prefix_.size()))
            best = &queue;
    }
    return best;
}

const Queue* Catalog::findExact(std::string_view host, std::string_view prefix) const
{
    for (const Queue& queue : queues_) {
        if (queue.host_ == host && queue.prefix_ == prefix)
            return &queue;
    }
    return nullptr;
}

std::set<std::string> Catalog::serviceNames() const
{
    std::set<std::string> names;
    for (const ServicePolicy& service : services_)
        names.insert(service.name_);
    for (const Queue& queue : queues_)
        names.insert(queue.service_);
    return names;
}

} // namespace persimmondoor::workflow
