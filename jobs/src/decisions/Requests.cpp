#include "OwnerRules.h"

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
    auto pending = owner_.submissions_.find(message.spec_.id_);
    if (pending != owner_.submissions_.end()) {
        if (pending->second.spec_ != message.spec_)
            return answer(IdTaken {});
        pending->second.tickets_.push_back(message.ticket_);
        return;
    }
    if (!owner_.quotas_.empty() && !owner_.quotas_.contains(message.spec_.team_))
        return answer(NotAccepted { "no such team" });
    if (owner_.journal_.pending() > maximumPendingRecords)
        return answer(NotAccepted { "the table service does not take the journal's writes; try again later" });
    owner_.submissions_.emplace(message.spec_.id_, Owner::PendingSubmission { message.spec_, { message.ticket_ } });
    propose({ JobSubmitted { message.spec_, moment_.wallMs_ } }, laneOf(message.spec_));
}

void OwnerRules::operator()(const CancelRequested& message)
{
    std::vector<Record> records;
    std::set<JobId> awaited;
    Lane lane = Lane::Batch;
    for (const JobId& id : message.jobs_) {
        const Job* job = owner_.ledger_.find(id);
        auto pending = owner_.submissions_.find(id);
        if (!job && pending == owner_.submissions_.end()) {
            if (message.jobs_.size() == 1)
                return void(actions_.emplace_back(AnswerRequest { message.ticket_, NoSuchJob { id } }));
            continue;
        }
        if (job && (job->cancelled_ || job->liveTasks_ == 0))
            continue;
        // In the lane of the submission, so that it cannot come to stand before it.
        if (!job && laneOf(pending->second.spec_) == Lane::Urgent)
            lane = Lane::Urgent;
        records.emplace_back(JobCancelled { id, moment_.wallMs_ });
        awaited.insert(id);
    }
    if (awaited.empty())
        return void(actions_.emplace_back(AnswerRequest { message.ticket_, Accepted {} }));
    owner_.cancellations_.emplace(message.ticket_, std::move(awaited));
    propose(std::move(records), lane);
}

void OwnerRules::answerSubmission(const JobId& id)
{
    auto pending = owner_.submissions_.find(id);
    if (pending == owner_.submissions_.end())
        return;
    for (Ticket ticket : pending->second.tickets_)
        actions_.emplace_back(AnswerRequest { ticket, Accepted {} });
    owner_.submissions_.erase(pending);
}

void OwnerRules::answerCancellations(const JobId& id)
{
    for (auto position = owner_.cancellations_.begin(); position != owner_.cancellations_.end();) {
        position->second.erase(id);
        if (!position->second.empty()) {
            ++position;
            continue;
        }
        actions_.emplace_back(AnswerRequest { position->first, Accepted {} });
        position = owner_.cancellations_.erase(position);
    }
}

void OwnerRules::answerAllUnknown()
{
    for (const auto& [id, pending] : owner_.submissions_) {
        for (Ticket ticket : pending.tickets_)
            actions_.emplace_back(AnswerRequest { ticket, OutcomeUnknown {} });
    }
    for (const auto& [ticket, jobs] : owner_.cancellations_)
        actions_.emplace_back(AnswerRequest { ticket, OutcomeUnknown {} });
    owner_.submissions_.clear();
    owner_.cancellations_.clear();
}

} // namespace persimmondoor::jobs
