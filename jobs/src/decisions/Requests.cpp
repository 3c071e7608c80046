#include "OwnerRules.h"
#include "persimmondoor/core/Text.h"

namespace persimmondoor::jobs {

void OwnerRules::operator()(const SubmitRequested& message)
{
    auto answer = [&](RequestResult result) { actions_.emplace_back(AnswerRequest { message.ticket_, std::move(result) }); };
    if (absl::Status status = checkJob(message.spec_); !status.ok())
        return answer(NotAccepted { std::string(status.message()) });
    if (const Job* job = owner_.ledger_.find(message.spec_.id_)) {
        if (job->spec_ == message.spec_)
            return answer(Accepted {});
        return answer(IdTaken {});
    }
    auto pending = owner_.pendingSubmissions_.find(message.spec_.id_);
    if (pending != owner_.pendingSubmissions_.end()) {
        if (pending->second.spec_ != message.spec_)
            return answer(IdTaken {});
        pending->second.tickets_.push_back(message.ticket_);
        return;
    }
    if (!owner_.quotas_.empty() && !owner_.quotas_.contains(message.spec_.team_))
        return answer(NotAccepted { "no such team" });
    if (owner_.journal_.pending() > maximumPendingRecords)
        return answer(NotAccepted { concat("too many records wait for the table service (", owner_.journal_.pending(), ", limit ", maximumPendingRecords, "); retry later") });
    owner_.pendingSubmissions_.emplace(message.spec_.id_, Owner::PendingSubmission { message.spec_, { message.ticket_ } });
    append({ JobSubmitted { message.spec_, moment_.wallMs_ } }, laneOf(message.spec_));
}

void OwnerRules::operator()(const CancelRequested& message)
{
    std::vector<Record> records;
    std::set<JobId> awaited;
    Lane lane = Lane::Deferred;
    for (const JobId& id : message.jobs_) {
        const Job* job = owner_.ledger_.find(id);
        auto pending = owner_.pendingSubmissions_.find(id);
        if (!job && pending == owner_.pendingSubmissions_.end()) {
            if (message.jobs_.size() == 1)
                return void(actions_.emplace_back(AnswerRequest { message.ticket_, NoSuchJob { id } }));
            continue;
        }
        if (job && (job->isCancelled_ || job->liveTasks_ == 0))
            continue;
        // The cancellation uses the lane of the submission, so that it is not written before the submission.
        if (!job && laneOf(pending->second.spec_) == Lane::Urgent)
            lane = Lane::Urgent;
        records.emplace_back(JobCancelled { id, moment_.wallMs_ });
        awaited.insert(id);
    }
    if (awaited.empty())
        return void(actions_.emplace_back(AnswerRequest { message.ticket_, Accepted {} }));
    owner_.pendingCancellations_.emplace(message.ticket_, std::move(awaited));
    append(std::move(records), lane);
}

void OwnerRules::answerSubmission(const JobId& id)
{
    auto pending = owner_.pendingSubmissions_.find(id);
    if (pending == owner_.pendingSubmissions_.end())
        return;
    for (Ticket ticket : pending->second.tickets_)
        actions_.emplace_back(AnswerRequest { ticket, Accepted {} });
    owner_.pendingSubmissions_.erase(pending);
}

void OwnerRules::answerCancellations(const JobId& id)
{
    for (auto position = owner_.pendingCancellations_.begin(); position != owner_.pendingCancellations_.end();) {
        position->second.erase(id);
        if (!position->second.empty()) {
            ++position;
            continue;
        }
        actions_.emplace_back(AnswerRequest { position->first, Accepted {} });
        position = owner_.pendingCancellations_.erase(position);
    }
}

void OwnerRules::answerAllUnknown()
{
    for (const auto& [id, pending] : owner_.pendingSubmissions_) {
        for (Ticket ticket : pending.tickets_)
            actions_.emplace_back(AnswerRequest { ticket, OutcomeUnknown {} });
    }
    for (const auto& [ticket, jobs] : owner_.pendingCancellations_)
        actions_.emplace_back(AnswerRequest { ticket, OutcomeUnknown {} });
    owner_.pendingSubmissions_.clear();
    owner_.pendingCancellations_.clear();
}

} // namespace persimmondoor::jobs
