#include "PeerLedger.h"

#include <algorithm>

namespace persimmondoor::rpc {

void OpenCalls::forgetBytes(Call& call)
{
    messageBytes_ -= call.bytes_;
    call.bytes_ = 0;
}

void OpenCalls::start(Question question, size_t bytes)
{
    Call& call = calls_[question];
    forgetBytes(call);
    call = Call { bytes, false, false };
    messageBytes_ += bytes;
}

void OpenCalls::answer(Question question)
{
    auto found = calls_.find(question);
    if (found == calls_.end())
        return;
    forgetBytes(found->second);
    found->second.isAnswered_ = true;
    if (found->second.isFinished_)
        calls_.erase(found);
}

void OpenCalls::finish(Question question)
{
    auto found = calls_.find(question);
    if (found == calls_.end())
        return;
    found->second.isFinished_ = true;
    if (found->second.isAnswered_)
        calls_.erase(found);
}

void PeerLedger::open(PeerNumber peer)
{
    connections_.try_emplace(peer);
}

void PeerLedger::close(PeerNumber peer)
{
    auto found = connections_.find(peer);
    if (found == connections_.end())
        return;
    heldBytes_ -= found->second;
    connections_.erase(found);
}

void PeerLedger::hold(PeerNumber peer, size_t bytes)
{
    auto found = connections_.find(peer);
    if (found == connections_.end())
        return;
    heldBytes_ += bytes - found->second;
    found->second = bytes;
}

std::optional<PeerNumber> PeerLedger::connectionToClose() const
{
    if (heldBytes_ <= limit_)
        return std::nullopt;
    return std::max_element(connections_.begin(), connections_.end(), [](const auto& left, const auto& right) { return left.second < right.second; })->first;
}

} // namespace persimmondoor::rpc
