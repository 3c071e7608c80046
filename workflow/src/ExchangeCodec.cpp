#include "ExchangeCodec.h"

#include "persimmondoor/core/Text.h"

namespace persimmondoor::workflow {

static capnp::Text::Reader toWire(const std::string& text)
{
    return { text.c_str(), text.size() };
}

static std::string fromWire(capnp::Text::Reader text)
{
    return { text.cStr(), text.size() };
}

static void encode(const WorkerIncarnation& incarnation, wire::Life::Builder builder)
{
    builder.setName(toWire(incarnation.name_));
    builder.setBornMs(incarnation.bornMs_);
    builder.setHost(toWire(incarnation.host_));
}

static WorkerIncarnation decode(wire::Life::Reader reader)
{
    return { fromWire(reader.getName()), reader.getBornMs(), fromWire(reader.getHost()) };
}

static void encode(const RunKey& run, wire::Run::Builder builder)
{
    builder.setJob(toWire(run.task_.job_.value()));
    builder.setOccurrence(run.task_.occurrence_);
    builder.setStep(run.task_.step_);
    builder.setIndex(run.task_.index_);
    builder.setRun(run.run_);
}

static absl::StatusOr<RunKey> decode(wire::Run::Reader reader)
{
    auto job = JobId::create(fromWire(reader.getJob()));
    if (!job.ok())
        return job.status();
    return RunKey { { *std::move(job), reader.getOccurrence(), reader.getStep(), reader.getIndex() }, reader.getRun() };
}

static void encodeLists(const WorkerReport& report, wire::Worker::Builder builder)
{
    auto active = builder.initActive(static_cast<unsigned>(report.active_.size()));
    for (unsigned index = 0; index < active.size(); ++index) {
        const ActiveRun& run = report.active_[index];
        encode(run.run_, active[index].initRun());
        active[index].setCheckpoint(toWire(run.checkpoint_));
        active[index].setPercent(run.progressPercent_);
        active[index].setLoad(run.load_);
        active[index].setPace(run.pace_);
    }
    auto ended = builder.initEnded(static_cast<unsigned>(report.ended_.size()));
    for (unsigned index = 0; index < ended.size(); ++index) {
        const EndedRun& run = report.ended_[index];
        ended[index].setNumber(run.number_);
        encode(run.run_, ended[index].initRun());
        ended[index].setEnd(static_cast<uint8_t>(run.end_));
        ended[index].setCheckpoint(toWire(run.checkpoint_));
    }
    auto refused = builder.initRefused(static_cast<unsigned>(report.refused_.size()));
    for (unsigned index = 0; index < refused.size(); ++index) {
        encode(report.refused_[index].run_, refused[index].initRun());
        refused[index].setReason(static_cast<uint8_t>(report.refused_[index].reason_));
    }
}

static void encode(const WorkerReport& report, wire::Worker::Builder builder)
{
    encode(report.incarnation_, builder.initLife());
    builder.setService(toWire(report.traits_.service_));
    builder.setDomain(toWire(report.traits_.domain_));
    auto labels = builder.initLabels(static_cast<unsigned>(report.traits_.labels_.size()));
    for (unsigned index = 0; index < labels.size(); ++index)
        labels.set(index, toWire(report.traits_.labels_[index]));
    builder.setMilliCores(report.traits_.capacity_.milliCores());
    builder.setMemoryBytes(report.traits_.capacity_.memoryBytes());
    builder.setAccelerators(report.traits_.capacity_.accelerators());
    builder.setDraining(report.draining_);
    builder.setRemainingMs(report.remainingMs_);
    builder.setListed(report.isListed_);
    builder.setReachable(report.isReachable_);
    builder.setReadings(report.readingNumber_);
    builder.setEndsCut(!report.hasAllEnds_);
    encodeLists(report, builder);
}

static absl::Status decodeLists(wire::Worker::Reader reader, WorkerReport& report)
{
    for (auto active : reader.getActive()) {
        auto run = decode(active.getRun());
        if (!run.ok())
            return run.status();
        report.active_.push_back({ *std::move(run), fromWire(active.getCheckpoint()), active.getPercent(), active.getLoad(), active.getPace() });
    }
    for (auto ended : reader.getEnded()) {
        auto run = decode(ended.getRun());
        if (!run.ok())
            return run.status();
        if (ended.getEnd() > static_cast<uint8_t>(RunEnd::GangTimedOut))
            return absl::InvalidArgumentError(concat("an ended run in a report has end ", ended.getEnd(), ", expected 0 to ", static_cast<int>(RunEnd::GangTimedOut)));
        report.ended_.push_back({ ended.getNumber(), *std::move(run), static_cast<RunEnd>(ended.getEnd()), fromWire(ended.getCheckpoint()) });
    }
    for (auto refused : reader.getRefused()) {
        auto run = decode(refused.getRun());
        if (!run.ok())
            return run.status();
        if (refused.getReason() > static_cast<uint8_t>(StartRefusal::Malformed))
            return absl::InvalidArgumentError(concat("a refused start in a report has reason ", refused.getReason(), ", expected 0 to ", static_cast<int>(StartRefusal::Malformed)));
        report.refused_.push_back({ *std::move(run), static_cast<StartRefusal>(refused.getReason()) });
    }
    return absl::OkStatus();
}

static absl::StatusOr<WorkerReport> decode(wire::Worker::Reader reader)
{
    WorkerReport report;
    report.incarnation_ = decode(reader.getLife());
    report.traits_.service_ = fromWire(reader.getService());
    report.traits_.domain_ = fromWire(reader.getDomain());
    for (auto label : reader.getLabels())
        report.traits_.labels_.push_back(fromWire(label));
    auto capacity = Resources::create(reader.getMilliCores(), reader.getMemoryBytes(), reader.getAccelerators());
    if (!capacity.ok())
        return capacity.status();
    report.traits_.capacity_ = *capacity;
    report.draining_ = reader.getDraining();
    report.remainingMs_ = reader.getRemainingMs();
    report.isListed_ = reader.getListed();
    report.isReachable_ = reader.getReachable();
    report.readingNumber_ = reader.getReadings();
    report.hasAllEnds_ = !reader.getEndsCut();
    if (absl::Status status = decodeLists(reader, report); !status.ok())
        return status;
    return report;
}

void encode(const AgentReport& report, wire::Report::Builder builder)
{
    builder.setAgent(toWire(report.agent_));
    builder.setDomain(toWire(report.domain_));
    builder.setSession(report.session_);
    builder.setEpoch(report.epoch_.value());
    builder.setFence(report.fence_.value());
    builder.setSequence(report.sequence_.value());
    builder.setSettled(report.lastCompletedOrder_.value());
    builder.setMayRelay(report.mayRelay_);
    auto workers = builder.initWorkers(static_cast<unsigned>(report.workers_.size()));
    for (unsigned index = 0; index < workers.size(); ++index)
        encode(report.workers_[index], workers[index]);
    auto gone = builder.initGone(static_cast<unsigned>(report.endedWorkers_.size()));
    for (unsigned index = 0; index < gone.size(); ++index)
        encode(report.endedWorkers_[index], gone[index]);
    auto crashed = builder.initCrashed(static_cast<unsigned>(report.crashedRuns_.size()));
    for (unsigned index = 0; index < crashed.size(); ++index)
        encode(report.crashedRuns_[index], crashed[index]);
    auto unconfirmed = builder.initUnconfirmed(static_cast<unsigned>(report.unconfirmedStarts_.size()));
    unsigned position = 0;
    for (const RunKey& run : report.unconfirmedStarts_)
        encode(run, unconfirmed[position++]);
    auto completed = builder.initCompleted(static_cast<unsigned>(report.completedOrders_.size()));
    unsigned index = 0;
    for (OrderNumber order : report.completedOrders_)
        completed.set(index++, order.value());
}

absl::StatusOr<AgentReport> decode(wire::Report::Reader reader)
{
    AgentReport report { fromWire(reader.getAgent()), fromWire(reader.getDomain()), reader.getSession(), LeaderEpoch(reader.getEpoch()), Fence(reader.getFence()),
        Sequence(reader.getSequence()), OrderNumber(reader.getSettled()), {}, {}, reader.getMayRelay(), {}, {} };
    for (auto worker : reader.getWorkers()) {
        auto decoded = decode(worker);
        if (!decoded.ok())
            return decoded.status();
        report.workers_.push_back(*std::move(decoded));
    }
    for (auto incarnation : reader.getGone())
        report.endedWorkers_.push_back(decode(incarnation));
    for (auto crashed : reader.getCrashed()) {
        auto run = decode(crashed);
        if (!run.ok())
            return run.status();
        report.crashedRuns_.push_back(*std::move(run));
    }
    for (auto unconfirmed : reader.getUnconfirmed()) {
        auto run = decode(unconfirmed);
        if (!run.ok())
            return run.status();
        report.unconfirmedStarts_.insert(*std::move(run));
    }
    for (uint64_t order : reader.getCompleted())
        report.completedOrders_.insert(OrderNumber(order));
    return report;
}

namespace {

    struct OrderEncoder {
        wire::Order::Builder builder_;

        void operator()(const StartRun& order)
        {
            auto start = builder_.initStart();
            start.setPayload(toWire(order.payload_));
            start.setCheckpoint(toWire(order.checkpoint_));
            start.setTicket(toWire(order.ticket_));
            encodeCommon(order);
        }
        void operator()(const StopRun& order)
        {
            builder_.setStop();
            encodeCommon(order);
        }

    private:
        template <typename Kind>
        void encodeCommon(const Kind& order)
        {
            builder_.setNumber(order.number_.value());
            encode(order.worker_, builder_.initWorker());
            encode(order.run_, builder_.initRun());
        }
    };

} // namespace

static absl::StatusOr<Order> decode(wire::Order::Reader reader)
{
    auto run = decode(reader.getRun());
    if (!run.ok())
        return run.status();
    OrderNumber number(reader.getNumber());
    WorkerIncarnation worker = decode(reader.getWorker());
    if (reader.isStop())
        return StopRun { number, std::move(worker), *std::move(run) };
    if (!reader.isStart())
        return absl::InvalidArgumentError(concat("an order in a reply has alternative ", static_cast<int>(reader.which()), ", expected start or stop"));
    auto start = reader.getStart();
    return StartRun { number, std::move(worker), *std::move(run), fromWire(start.getPayload()), fromWire(start.getCheckpoint()), fromWire(start.getTicket()) };
}

static void encode(const Interference& estimates, wire::Directive::Builder builder)
{
    auto sensitivities = builder.initSensitivities(static_cast<unsigned>(estimates.sensitivities_.size()));
    unsigned index = 0;
    for (const auto& [longRunning, sensitivity] : estimates.sensitivities_) {
        auto item = sensitivities[index++];
        item.setLongRunning(toWire(longRunning));
        item.setUnloadedMs(sensitivity.unloadedMs_);
        auto harms = item.initHarms(static_cast<unsigned>(sensitivity.factors_.size()));
        unsigned harm = 0;
        for (const auto& [filling, factor] : sensitivity.factors_) {
            harms[harm].setFilling(toWire(filling));
            harms[harm++].setFactor(factor);
        }
    }
}

static Interference decodeInterference(wire::Directive::Reader reader)
{
    Interference estimates;
    for (auto item : reader.getSensitivities()) {
        Sensitivity& sensitivity = estimates.sensitivities_[fromWire(item.getLongRunning())];
        sensitivity.unloadedMs_ = item.getUnloadedMs();
        for (auto harm : item.getHarms())
            sensitivity.factors_[fromWire(harm.getFilling())] = harm.getFactor();
    }
    return estimates;
}

void encode(const ReportReply& reply, wire::Directive::Builder builder)
{
    builder.setEpoch(reply.epoch_.value());
    builder.setFence(reply.fence_.value());
    builder.setAnswered(reply.answeredReport_.value());
    builder.setLease(reply.lease_.count());
    auto orders = builder.initOrders(static_cast<unsigned>(reply.orders_.size()));
    for (unsigned index = 0; index < orders.size(); ++index)
        std::visit(OrderEncoder { orders[index] }, reply.orders_[index]);
    auto durable = builder.initDurable(static_cast<unsigned>(reply.durableEnds_.size()));
    for (unsigned index = 0; index < durable.size(); ++index) {
        encode(reply.durableEnds_[index].worker_, durable[index].initWorker());
        durable[index].setNumber(reply.durableEnds_[index].number_);
    }
    auto traits = builder.initTraits(static_cast<unsigned>(reply.traits_.size()));
    for (unsigned index = 0; index < traits.size(); ++index) {
        traits[index].setMilliCores(reply.traits_[index].milliCores_);
        encode(reply.traits_[index].run_, traits[index].initRun());
        traits[index].setFills(reply.traits_[index].isFilling_);
        traits[index].setTargetTailMs(reply.traits_[index].targetTailMs_);
        traits[index].setImage(toWire(reply.traits_[index].image_));
    }
    encode(reply.interference_, builder);
    auto services = builder.initServices(static_cast<unsigned>(reply.services_.size()));
    unsigned service = 0;
    for (const std::string& name : reply.services_)
        services.set(service++, toWire(name));
}

absl::StatusOr<ReportReply> decode(wire::Directive::Reader reader)
{
    ReportReply reply { LeaderEpoch(reader.getEpoch()), Fence(reader.getFence()), Sequence(reader.getAnswered()), Duration(reader.getLease()), {}, {}, {}, {} };
    for (auto order : reader.getOrders()) {
        auto decoded = decode(order);
        if (!decoded.ok())
            return decoded.status();
        reply.orders_.push_back(*std::move(decoded));
    }
    for (auto durable : reader.getDurable())
        reply.durableEnds_.push_back({ decode(durable.getWorker()), durable.getNumber() });
    for (auto traits : reader.getTraits()) {
        auto run = decode(traits.getRun());
        if (!run.ok())
            return run.status();
        reply.traits_.push_back({ *std::move(run), traits.getFills(), traits.getTargetTailMs(), fromWire(traits.getImage()), traits.getMilliCores() });
    }
    reply.interference_ = decodeInterference(reader);
    for (auto service : reader.getServices())
        reply.services_.insert(fromWire(service));
    return reply;
}

namespace {

    struct VerbEncoder {
        wire::ClientCall::Builder builder_;

        void operator()(const Submit& submit)
        {
            std::string spec = encodeSpec(submit.spec_);
            builder_.setSubmit(capnp::Data::Reader(reinterpret_cast<const kj::byte*>(spec.data()), spec.size()));
        }
        void operator()(const GetStatus&) { builder_.setLook(); }
        void operator()(const Cancel&) { builder_.setCancel(); }
    };

    struct AnswerEncoder {
        wire::ClientAnswer::Builder builder_;

        void operator()(const Accepted&) { builder_.setAccepted(); }
        void operator()(const NotAccepted& answer)
        {
            auto group = builder_.initNotAccepted();
            group.setReason(toWire(answer.reason_));
            group.setRetryAfter(answer.retryAfter_.count());
        }
        void operator()(const Malformed& answer) { builder_.setMalformed(toWire(answer.reason_)); }
        void operator()(const NoSuchQueue&) { builder_.setNoSuchQueue(); }
        void operator()(const NoSuchJob&) { builder_.setNoSuchJob(); }
        void operator()(const JobStatus& answer) { builder_.setStatus(static_cast<uint8_t>(answer.phase_)); }
        void operator()(const WaitingCount& answer) { builder_.setWaiting(answer.jobs_); }
        void operator()(const CancelAccepted&) { builder_.setCancelAccepted(); }
        void operator()(const OutcomeUnknown& answer) { builder_.setOutcomeUnknown(toWire(answer.reason_)); }
        void operator()(const NotLeader& answer) { builder_.setNotOwner(toWire(answer.reason_)); }
        void operator()(const JobUnreadable& answer) { builder_.setJobUnreadable(answer.retryAfter_.count()); }
    };

} // namespace

void encode(const ClientCall& call, wire::ClientCall::Builder builder)
{
    builder.setHost(toWire(call.host_));
    builder.setPath(toWire(call.path_));
    builder.setTimeLeft(call.timeLeft_.count());
    builder.setMayRelay(call.mayRelay_);
    if (call.expiry_) {
        builder.setExpiryEpoch(call.expiry_->epoch_.value());
        builder.setExpiresAt(call.expiry_->at_.microseconds());
    }
    std::visit(VerbEncoder { builder }, call.verb_);
}

absl::StatusOr<ClientCall> decode(wire::ClientCall::Reader reader)
{
    ClientCall call { fromWire(reader.getHost()), fromWire(reader.getPath()), GetStatus {}, Duration(reader.getTimeLeft()), reader.getMayRelay() };
    if (reader.getExpiresAt() != 0)
        call.expiry_ = CallExpiry { LeaderEpoch(reader.getExpiryEpoch()), Instant::fromMicroseconds(reader.getExpiresAt()) };
    if (reader.isSubmit()) {
        auto bytes = reader.getSubmit();
        auto spec = decodeSpec({ reinterpret_cast<const char*>(bytes.begin()), bytes.size() });
        if (!spec.ok())
            return spec.status();
        call.verb_ = Submit { *std::move(spec) };
    } else if (reader.isCancel()) {
        call.verb_ = Cancel {};
    }
    return call;
}

void encode(const ClientAnswer& answer, wire::ClientAnswer::Builder builder)
{
    std::visit(AnswerEncoder { builder }, answer);
}

absl::StatusOr<ClientAnswer> decode(wire::ClientAnswer::Reader reader)
{
    switch (reader.which()) {
    case wire::ClientAnswer::ACCEPTED:
        return Accepted {};
    case wire::ClientAnswer::NOT_ACCEPTED:
        return NotAccepted { fromWire(reader.getNotAccepted().getReason()), Duration(reader.getNotAccepted().getRetryAfter()) };
    case wire::ClientAnswer::MALFORMED:
        return Malformed { fromWire(reader.getMalformed()) };
    case wire::ClientAnswer::NO_SUCH_QUEUE:
        return NoSuchQueue {};
    case wire::ClientAnswer::NO_SUCH_JOB:
        return NoSuchJob {};
    case wire::ClientAnswer::STATUS:
        if (reader.getStatus() > static_cast<uint8_t>(JobPhase::Cancelled))
            return absl::InvalidArgumentError(concat("an answer has job phase ", reader.getStatus(), ", expected 0 to ", static_cast<int>(JobPhase::Cancelled)));
        return JobStatus { static_cast<JobPhase>(reader.getStatus()) };
    case wire::ClientAnswer::WAITING:
        return WaitingCount { reader.getWaiting() };
    case wire::ClientAnswer::CANCEL_ACCEPTED:
        return CancelAccepted {};
    case wire::ClientAnswer::OUTCOME_UNKNOWN:
        return OutcomeUnknown { fromWire(reader.getOutcomeUnknown()) };
    case wire::ClientAnswer::NOT_OWNER:
        return NotLeader { fromWire(reader.getNotOwner()) };
    case wire::ClientAnswer::JOB_UNREADABLE:
        return JobUnreadable { Duration(reader.getJobUnreadable()) };
    }
    return absl::InvalidArgumentError(concat("an answer has alternative ", static_cast<int>(reader.which()), ", expected 0 to ", static_cast<int>(wire::ClientAnswer::JOB_UNREADABLE)));
}

void encode(const LeaderView& leader, wire::Leader::Builder builder)
{
    builder.setEpoch(leader.epoch_.value());
    builder.setAddress(toWire(leader.address_ ? leader.address_->text() : ""));
    builder.setIsSelf(leader.isSelf_);
    builder.setWriteAge(leader.writeAge_.count());
    builder.setContactAge(leader.contactAge_.count());
    builder.setClock(leader.clock_ ? leader.clock_->microseconds() : 0);
}

absl::StatusOr<LeaderView> decode(wire::Leader::Reader reader)
{
    LeaderView leader { LeaderEpoch(reader.getEpoch()), std::nullopt, reader.getIsSelf(), Duration(reader.getWriteAge()), Duration(reader.getContactAge()) };
    if (reader.getClock() != 0)
        leader.clock_ = Instant::fromMicroseconds(reader.getClock());
    std::string text = fromWire(reader.getAddress());
    if (text.empty())
        return leader;
    auto address = Address::parse(text);
    if (!address.ok())
        return address.status();
    leader.address_ = *std::move(address);
    return leader;
}

} // namespace persimmondoor::workflow
