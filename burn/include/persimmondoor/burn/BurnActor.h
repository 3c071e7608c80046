/// The actor of an entry that counts its requests against the objectives, saves the counts and makes the report.
///
/// It saves one small row a minute, `burn/<entry>/<half hour modulo 145>`, with the minutes of the half hour that has
/// begun; so at most a minute of an entry's figures is lost with its host. A report adds the rows of all entries.
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

/// Time between two saved rows of an entry.
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

    /// Takes over a team's objectives; services without one are not counted.
    void define(const settings::TeamSettings&) const;
    /// Counts a request; dropped, and counted as dropped, if the mailbox is full.
    void observe(Observed, std::string outcome) const;
    boost::asio::awaitable<BurnReport> report() const;
    /// Metrics of this process in the text exposition format, or as JSON.
    boost::asio::awaitable<std::string> metrics(bool asJSON) const;
    void stop() const { mailbox_.close(); }

    struct Seen {
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
    using Message = std::variant<TeamDefined, Seen, AskReport, AskMetrics, SaveDue>;

private:
    Mailbox<Message> mailbox_;
};

/// A handler that lets `handler` answer and tells `burn` of the outcome and its latency.
http::Handler observe(http::Handler handler, BurnActor burn);

/// Adds GET /v1/report?format=text|json|html and GET /v1/metrics[?format=json].
void offerBurn(http::Routes&, const BurnActor&);

} // namespace persimmondoor::burn
