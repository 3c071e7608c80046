/// The actor that counts an entry's requests against the objectives of the services, saves the counts and makes the
/// report on service-level burn.
///
/// It writes one small row a minute, `burn/<entry>/<half hour modulo 145>`, with the counts of each minute of the current
/// half hour. So at most one minute of an entry's counts is lost when its host fails. A report adds up the rows of all
/// entries.
///
/// \code
/// BurnActor burn(executor, BurnOptions { self, entries, table });
/// http::Handler observed = burn::observe(handler, burn);
/// \endcode
#pragma once

#include "persimmondoor/burn/Report.h"
#include "persimmondoor/core/Mailbox.h"
#include "persimmondoor/http/Routes.h"
#include "persimmondoor/settings/Team.h"
#include "persimmondoor/store/TableClient.h"

namespace persimmondoor::burn {

/// Time between two writes of an entry's row.
inline constexpr Duration saveInterval = std::chrono::minutes(1);

struct BurnOptions {
    ProcessName self_;
    /// All entries of the cell, this one included.
    std::vector<ProcessName> entries_;
    store::TableClient table_;
};

class BurnActor {
public:
    BurnActor(const boost::asio::any_io_executor&, BurnOptions);

    /// Sets the objectives of a team's services; requests of services without an objective are not counted in the report.
    /// Dropped with a log event if the mailbox is full.
    void define(const settings::TeamSettings&) const;
    /// Counts a request that has ended. Dropped with a log event if the mailbox is full.
    void observe(Observed, std::string outcome) const;
    /// \return the report over all entries, empty if the mailbox is full.
    boost::asio::awaitable<BurnReport> report() const;
    /// \return the metrics of this process in the Prometheus text format or as JSON, empty if the mailbox is full.
    boost::asio::awaitable<std::string> metrics(bool asJSON) const;
    void stop() const { mailbox_.close(); }

    struct RequestEnded {
        Observed observed_;
        std::string outcome_;
    };
    struct AskReport {
        Reply<BurnReport> reply_;
    };
    struct AskMetrics {
        bool asJSON_ { false };
        Reply<std::string> reply_;
    };
    struct SaveDue {
        auto operator<=>(const SaveDue&) const = default;
    };
    using Message = std::variant<TeamDefined, RequestEnded, AskReport, AskMetrics, SaveDue>;

private:
    Mailbox<Message> mailbox_;
};

/// Wraps `handler`: each request that it answers is counted by `burn` with its outcome and latency, except malformed
/// requests and those whose path contains no valid service name.
http::Handler observe(http::Handler handler, BurnActor burn);

/// Adds `GET /v1/report?format=text|json|html` and `GET /v1/metrics[?format=json]`.
void offerBurn(http::Routes&, const BurnActor&);

} // namespace persimmondoor::burn
