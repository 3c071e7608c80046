#include "HungJobs.h"

#include "persimmondoor/core/Actor.h"
#include "persimmondoor/core/Coroutine.h"
#include "persimmondoor/core/Log.h"
#include "persimmondoor/core/Text.h"
#include "persimmondoor/platform/RowStore.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json/serialize.hpp>
#include <cstdlib>

namespace persimmondoor::scheduler {

namespace asio = boost::asio;

// The store may be down as well; its outages last some seconds.
static constexpr Duration isolationTimeout = std::chrono::seconds(10);
static constexpr Duration writeTimeout = std::chrono::milliseconds(1000);
static constexpr Duration writeRetryInterval = std::chrono::milliseconds(200);

store::Transaction leaveOutTransaction(const JobId& job, std::string_view reason, std::string_view entry)
{
    boost::json::object value { { "reason", std::string(reason) }, { "entry", std::string(entry) } };
    return { {}, { store::Put { concat(hungTable, "/", job.value()), boost::json::serialize(value) } } };
}

std::set<JobId> hungJobsOf(const std::vector<store::Row>& rows)
{
    std::set<JobId> jobs;
    for (const store::Row& row : rows) {
        auto job = JobId::create(row.key_.substr(hungTable.size() + 1));
        if (job.ok())
            jobs.insert(*std::move(job));
        else
            logWarning("hung_job.unreadable", { { "row", row.key_ }, { "reason", std::string(job.status().message()) } });
    }
    return jobs;
}

static asio::awaitable<void> writeUntilCommitted(platform::RowStore rows, store::Transaction transaction, bool& written)
{
    while (!written) {
        store::CommitOutcome outcome = co_await rows.commit(transaction, writeTimeout);
        written = std::holds_alternative<store::Committed>(outcome);
        if (!written)
            co_await sleepFor(writeRetryInterval);
    }
}

void isolateJobAndExit(const Address& store, const std::optional<JobId>& job, const std::string& reason, const std::string& entry)
{
    bool written = false;
    if (job) {
        asio::io_context context;
        spawn(context.get_executor(), "isolate job", writeUntilCommitted(platform::RowStore::create(context.get_executor(), store), leaveOutTransaction(*job, reason, entry), written));
        context.run_for(std::chrono::duration_cast<std::chrono::milliseconds>(isolationTimeout));
    }
    logError("job.isolated", { { "job", job ? job->value() : "unknown" }, { "reason", reason }, { "written", written ? "yes" : "no" } });
    flushLog();
    // Destructors could wait for the thread that hangs, so that none is run.
    std::_Exit(actorFailedExitCode);
}

} // namespace persimmondoor::scheduler
